package server

import (
	"github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// warningLogger passes kratos' log entries on to zap, from warnings up.
type warningLogger struct{ logger *zap.Logger }

// Log implements kratos' log.Logger.
func (w warningLogger) Log(level log.Level, keyValues ...any) error {
	if level >= log.LevelWarn {
		w.logger.Warn("warning of the HTTP library", zap.Any("fields", keyValues))
	}
	return nil
}

// InstallLogger makes a kratos logger that writes warnings and errors to logger, and installs
// the new logger as kratos' global logger.
func InstallLogger(logger *zap.Logger) log.Logger {
	adapter := warningLogger{logger}
	log.SetLogger(adapter)
	return adapter
}
