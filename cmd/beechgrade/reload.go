package main

import (
	"os"
	"time"

	"beechgrade/internal/config"
)

const (
	reloadFor   = 10 * time.Second      // how long a new configuration that cannot be read is tried
	reloadPause = 50 * time.Millisecond // between tries
)

// loadPatiently reads a configuration. One that cannot be read now, because a system call fails or the file is only half written, is
// tried again for a while; failed is told of the first failure. One that can be read and not used is an error at once.
func loadPatiently(load func() (*config.Config, error), most time.Duration, failed func(error)) (*config.Config, error) {
	for tries, end := 0, time.Now().Add(most); ; tries++ {
		cfg, err := load()
		if err == nil || !config.IsTransient(err) || time.Now().After(end) {
			return cfg, err
		}
		if tries == 0 {
			failed(err)
		}
		time.Sleep(reloadPause)
	}
}

// reload takes over the configuration each time that it is told to. Tells that come meanwhile are answered by one more reading.
func (p *pooler) reload(told <-chan os.Signal) {
	for range told {
		next, err := loadPatiently(p.load, reloadFor, func(err error) {
			p.log.Warn("configuration cannot be read now, and is tried again", "err", err)
		})
		if err != nil {
			p.log.Error("configuration not taken; the old one stays", "err", err)
			continue
		}
		p.loop.Post(func() { p.apply(next) })
	}
}
