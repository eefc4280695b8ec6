package simulation

import (
	"bytes"
	"strings"

	json "github.com/goccy/go-json"
)

// What the version in production before pipelines reads and writes, frozen: these
// types are never changed along with the core's. A controller that stands for that
// version sees every value through them, so it drops what it doesn't know, and
// whatever the new version writes before the switch must pass through them whole.

type previousResources struct {
	CPU int64 `json:"c,omitempty"`
	GPU int64 `json:"g,omitempty"`
	Mem int64 `json:"m,omitempty"`
}

type previousSpec struct {
	Class   string            `json:"cl"`
	Team    string            `json:"tm"`
	Shape   string            `json:"sh"`
	Prio    int               `json:"pr"`
	N       int               `json:"n"`
	Need    previousResources `json:"r"`
	Types   []string          `json:"ty,omitempty"`
	Zone    string            `json:"z,omitempty"`
	OneZone bool              `json:"oz,omitempty"`
	Spread  bool              `json:"sp,omitempty"`
	Spot    bool              `json:"s,omitempty"`
	Image   string            `json:"im,omitempty"`
	ImageGB float64           `json:"ig,omitempty"`
	Est     float64           `json:"es,omitempty"`
	Ckpt    float64           `json:"ck,omitempty"`
	Save    float64           `json:"sv,omitempty"`
	Due     float64           `json:"du,omitempty"`
}

type previousChunk struct {
	D []string          `json:"d,omitempty"`
	J map[string]string `json:"j"`
}

type previousHeader struct {
	State  string         `json:"st"`
	Spec   *previousSpec  `json:"s,omitempty"`
	N      int            `json:"n"`
	Part   string         `json:"p,omitempty"`
	Order  uint64         `json:"q,omitempty"`
	Chunk  int            `json:"ch,omitempty"`
	Hops   int            `json:"hp,omitempty"`
	In     bool           `json:"i,omitempty"`
	T      *previousChunk `json:"t,omitempty"`
	Pack   string         `json:"k,omitempty"`
	Chunks int            `json:"dc,omitempty"`
	Halt   uint64         `json:"h,omitempty"`
	Clean  bool           `json:"cl,omitempty"`
}

type previousView struct {
	Epoch   uint64            `json:"e"`
	Leader  string            `json:"l"`
	Members map[string]string `json:"m"`
	Serving []string          `json:"s"`
	Over    map[string]string `json:"o,omitempty"`
	Zoned   bool              `json:"z,omitempty"`
}

type previousTeam struct {
	Res map[string]previousResources `json:"r"`
}

type previousCordons struct {
	Drain map[string]string `json:"d,omitempty"`
	Gone  []string          `json:"g,omitempty"`
}

type previousMachineTypes struct {
	F []struct {
		Name  string            `json:"n"`
		Size  previousResources `json:"r"`
		Cache float64           `json:"c"`
		Fetch float64           `json:"f"`
		Price float64           `json:"p"`
		Spot  float64           `json:"s"`
		BootS float64           `json:"b"`
		Zones []string          `json:"z"`
	} `json:"f"`
}

type previousWindow struct {
	Seq    uint64    `json:"q"`
	Loads  []float64 `json:"x"`
	Passes int       `json:"p"`
	Theta  []float64 `json:"t"`
}

// beforeType is what the version before reads a key as; nil: it ignores the key.
func previousType(key string) any {
	for pre, v := range map[string]any{
		"b/view": &previousView{}, "b/flavors": &previousMachineTypes{}, "b/member/": new(string), "b/job/": &previousHeader{},
		"b/pack/": &previousChunk{}, "b/task/": &previousChunk{}, "b/team/": &previousTeam{}, "b/mach/": &previousCordons{}, "b/window/": &previousWindow{},
	} {
		if key == pre || strings.HasSuffix(pre, "/") && strings.HasPrefix(key, pre) {
			return v
		}
	}
	return nil
}

// asBefore is a value as the version before reads and would write it again;
// false: it can't read it. whole: nothing of it is lost that way.
func asPreviousVersion(key string, v []byte) (seen []byte, whole, ok bool) {
	t := previousType(key)
	if t == nil {
		return nil, false, false
	}
	strict := json.NewDecoder(bytes.NewReader(v))
	strict.DisallowUnknownFields()
	whole = strict.Decode(t) == nil
	t = previousType(key)
	if json.Unmarshal(v, t) != nil {
		return nil, false, false
	}
	if h, is := t.(*previousHeader); is && h.State != "open" && h.State != "done" && h.State != "cancelled" {
		whole = false // taken for final
	}
	seen, err := json.Marshal(t)
	return seen, whole, err == nil
}
