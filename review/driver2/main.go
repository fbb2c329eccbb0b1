//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// scripts maps the names of the scripts to their functions, which report whether the rule was broken.
var scripts = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runnerMain(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Println("usage: driver2 SCRIPT FOLDER")
		os.Exit(2)
	}
	os.Exit(runScript(scripts[os.Args[1]], os.Args[2]))
}

// runScript runs a script and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the script could not run.
func runScript(script func(w *world) bool, folder string) (status int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(f)}
	keep := os.Getenv("KEEP") != ""
	defer func() {
		reason := recover()
		w.end()
		if reason != nil {
			w.say("the script could not run: %v", reason)
			status = 2
		}
		w.recordMu.Lock()
		defer w.recordMu.Unlock()
		_ = w.record.Flush()
		_ = f.Close()
		if !keep {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	}()
	timer := time.AfterFunc(115*time.Second, func() {
		w.end()
		os.Exit(2)
	})
	defer timer.Stop()
	w.startStore()
	if script(w) {
		return 1
	}
	return 0
}
