package server

import (
	"github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
)

// warningLogger writes the log entries of kratos with the level warning or above to zap.
type warningLogger struct{ logger *zap.Logger }

// Log implements log.Logger of kratos.
func (w warningLogger) Log(level log.Level, keyValues ...any) error {
	if level >= log.LevelWarn {
		w.logger.Warn("kratos warning or error", zap.Any("fields", keyValues))
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
