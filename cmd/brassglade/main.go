// Command brassglade runs one controller of a cluster scheduler, or checks its settings files.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"brassglade/internal/config"
	"brassglade/internal/node"
)

func main() {
	root := &cobra.Command{
		Use:          "brassglade",
		Short:        "A cluster scheduler of cooperating controllers",
		SilenceUsage: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}

func serveCommand() *cobra.Command {
	var files settingsFiles
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run one controller until it is killed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := setUpLogging(); err != nil {
				return err
			}
			settings, operator, err := files.load()
			if err != nil {
				return err
			}
			return node.Run(c.Context(), settings, operator)
		},
	}
	files.addFlags(c)
	return c
}

func checkCommand() *cobra.Command {
	var files settingsFiles
	c := &cobra.Command{
		Use:   "check",
		Short: "Check the settings files and report errors",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, _, err := files.load(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "ok")
			return err
		},
	}
	files.addFlags(c)
	return c
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if build, ok := debug.ReadBuildInfo(); ok {
				version = build.Main.Version + " " + build.GoVersion
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "brassglade", version)
			return err
		},
	}
}

// settingsFiles holds the paths of a controller's settings files.
type settingsFiles struct {
	platform string
	operator string // "" if there is none
}

func (f *settingsFiles) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.platform, "config", "", "settings file of the platform (JSON)")
	c.Flags().StringVar(&f.operator, "operator", "", "settings file of the operators (YAML), optional")
	if err := c.MarkFlagRequired("config"); err != nil {
		panic("cannot mark flag --config as required: " + err.Error())
	}
}

// load reads and checks the settings files. The operators' settings are nil if there is no
// such file.
func (f *settingsFiles) load() (*config.Settings, *config.Operator, error) {
	settings, err := config.Load(f.platform)
	if err != nil {
		return nil, nil, err
	}
	if f.operator == "" {
		return settings, nil, nil
	}
	operator, err := config.LoadOperator(f.operator)
	if err != nil {
		return nil, nil, err
	}
	return settings, operator, nil
}

// setUpLogging makes slog write to standard error at the level in the environment variable
// LOG_LEVEL, by default info. Another value than error, info or debug gives an error.
func setUpLogging() error {
	var level slog.Level
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", name)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}
