// Logging through Boost.Log. A message is a short sentence; each part of the
// program has its own prefix.

#ifndef MUSTARDFLOW_TRANSPORT_LOGGING_H_
#define MUSTARDFLOW_TRANSPORT_LOGGING_H_

#include <string>
#include <string_view>

namespace mustardflow::transport {

// Severities in ascending order.
enum class LogLevel {
  kTrace,
  kDebug,
  kInfo,
  kWarning,
  kError,
  kFatal,
};

// Returns the level with this name, or kInfo if the name is unknown.
LogLevel LogLevelFromName(std::string_view name);

// Starts logging to the standard error stream, for messages of `min_level` and
// above. `format` is "text" or "json"; with "json" each line is one JSON
// object.
void StartLogging(LogLevel min_level, std::string_view format);

// Writes the log messages of one part of the program.
class Logger {
 public:
  explicit Logger(std::string prefix);

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warning(std::string_view message) const;
  void Error(std::string_view message) const;

 private:
  void Write(LogLevel level, std::string_view message) const;

  const std::string prefix_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_LOGGING_H_
