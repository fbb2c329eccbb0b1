// Package cmd holds the command line, one file a subcommand.
package cmd

// Main runs the command line and returns the exit status.
func Main(_ []string) int { return 0 }
