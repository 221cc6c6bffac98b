// Formats findings as text.

#include "protocol/findings.h"

namespace mustardflow::protocol {

std::string Findings::Report(const std::string& file) const {
  std::string report;
  for (const Finding& finding : list_) {
    report += file + ": " + finding.location + ": " + finding.problem + "; " +
              finding.remedy + "\n";
  }
  return report;
}

}  // namespace mustardflow::protocol
