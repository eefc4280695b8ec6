// Command brassglade is a cluster scheduler: one controller of a group.
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

func logging() error {
	level := slog.LevelInfo
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "error":
		level = slog.LevelError
	case "", "info":
	case "debug":
		level = slog.LevelDebug
	default:
		return fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", v)
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	return nil
}

func load(file, own string) (*config.Settings, *config.Operator, error) {
	s, err := config.Load(file)
	if err != nil {
		return nil, nil, err
	}
	if own == "" {
		return s, nil, nil
	}
	o, err := config.LoadOperator(own)
	return s, o, err
}

func main() {
	var file, own string
	root := &cobra.Command{
		Use: "brassglade", Short: "A cluster scheduler of cooperating controllers",
		SilenceUsage: true,
	}
	serve := &cobra.Command{
		Use: "serve", Short: "Run one controller until it is killed", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := logging(); err != nil {
				return err
			}
			s, o, err := load(file, own)
			if err != nil {
				return err
			}
			return node.Run(c.Context(), s, o)
		},
	}
	check := &cobra.Command{
		Use: "check", Short: "Check the settings files and say what is wrong", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if _, _, err := load(file, own); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "ok")
			return err
		},
	}
	for _, c := range []*cobra.Command{serve, check} {
		c.Flags().StringVar(&file, "config", "", "settings file of the platform (JSON)")
		c.Flags().StringVar(&own, "operator", "", "the operators' own settings (YAML)")
		if err := c.MarkFlagRequired("config"); err != nil {
			panic(err)
		}
	}
	version := &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v := "unknown"
			if b, ok := debug.ReadBuildInfo(); ok {
				v = b.Main.Version + " " + b.GoVersion
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "brassglade", v)
			return err
		},
	}
	root.AddCommand(serve, check, version)
	if err := root.ExecuteContext(context.Background()); err != nil {
		os.Exit(1)
	}
}
