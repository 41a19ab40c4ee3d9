package main

import (
	"os"
	"time"

	"beechgrade/internal/config"
)

const (
	reloadTimeout     = 10 * time.Second      // limit for retries while a new configuration cannot be read
	loadRetryInterval = 50 * time.Millisecond // time between two attempts
)

// loadWithRetry reads a configuration. If a system call fails or the file is not completely written, it retries until the
// timeout, and calls onFirstFailure once. It returns any other error, such as an invalid value, at once.
func loadWithRetry(load func() (*config.Config, error), timeout time.Duration,
	onFirstFailure func(error)) (*config.Config, error) {
	for attempts, deadline := 0, time.Now().Add(timeout); ; attempts++ {
		cfg, err := load()
		if err == nil || !config.IsTransient(err) || time.Now().After(deadline) {
			return cfg, err
		}
		if attempts == 0 {
			onFirstFailure(err)
		}
		time.Sleep(loadRetryInterval)
	}
}

// reload reads and applies the configuration after each signal. Signals that arrive while it does so cause one more reload.
func (p *pooler) reload(signals <-chan os.Signal) {
	for range signals {
		next, err := loadWithRetry(p.loadConfig, reloadTimeout, func(err error) {
			p.log.Warn("configuration cannot be read; retrying", "err", err)
		})
		if err != nil {
			p.log.Error("configuration not taken; the previous one stays in effect", "err", err)
			continue
		}
		p.loop.Post(func() { p.apply(next) })
	}
}
