//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
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
		fmt.Println("usage: driver2 SCRIPT RECORD")
		os.Exit(2)
	}
	os.Exit(runScript(scripts[os.Args[1]], os.Args[2]))
}

// runScript runs a script and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the script could not run.
func runScript(script func(w *world) bool, record string) (status int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := os.Create(record)
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
		w.say("the script could not run: it took too long")
		w.flush()
		w.end()
		os.Exit(2)
	})
	defer timer.Stop()
	go func() { // A run that is ended from outside leaves its record. This ends with the process.
		for range time.Tick(time.Second) {
			w.flush()
		}
	}()
	w.startStore()
	if script(w) {
		return 1
	}
	return 0
}
