package config_test

import (
	"fmt"
	"time"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/effect"
)

const document = `
[rank urgent]
level = 0

[account shop]
key_hashes =
rank = urgent
budget = shop-main

[budget shop-main]
account = shop
`

func ExampleParse() {
	_, err := config.Parse([]byte("[rank urgent]\nlevel = low\n[account shop]\nrank = urgent\n"))
	fmt.Println(err)
	// Output:
	// 2: [rank urgent] level: "low" is not a whole number
	// 3: [account shop] key_hashes: missing
	// 3: [account shop] budget: missing
}

// A Change writes a document to a table, and a Watcher reads it. A map stands in
// for the platform's table.
func Example() {
	now := time.Unix(0, 0)
	rows := make(map[string]waxwingwall.Row)
	change := config.NewChange(config.Request{
		Environment: config.Trial,
		Base:        config.Newest,
		Text:        []byte(document),
		Author:      "ana",
		Time:        now,
		ID:          "random",
	})
	drive(now, rows, change.Step)
	head, err := change.Result()
	fmt.Println(head.Version, head.Author, err)

	watcher := config.NewWatcher(config.Trial)
	drive(now, rows, watcher.Step)
	doc := watcher.Document()
	account, _ := doc.Account("shop")
	fmt.Println(doc.Version, account.Budget)
	// Output:
	// 1 ana <nil>
	// 1 shop-main
}

// drive steps a state machine and performs its actions until there are none.
func drive(now time.Time, rows map[string]waxwingwall.Row, step func(time.Time, effect.Event) []effect.Action) {
	actions := step(now, effect.Tick{})
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case effect.Read:
			answer := effect.Rows{
				ID: a.ID,
			}
			for _, k := range a.Keys {
				answer.Rows = append(answer.Rows, rows[k])
			}
			actions = append(actions, step(now, answer)...)
		case effect.Transact:
			for _, w := range a.Writes {
				rows[w.Key] = waxwingwall.Row{
					Key:     w.Key,
					Version: rows[w.Key].Version + 1,
					Value:   w.Value,
				}
			}
			actions = append(actions, step(now, effect.Transacted{
				ID: a.ID,
			})...)
		}
	}
}
