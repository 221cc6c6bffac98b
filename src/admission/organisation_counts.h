// What hosts and the leader tell each other of the organisations' requests.

#ifndef MUSTARDFLOW_ADMISSION_ORGANISATION_COUNTS_H_
#define MUSTARDFLOW_ADMISSION_ORGANISATION_COUNTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardflow::admission {

// One organisation's requests at one host in one interval between reports.
struct RequestCount {
  // Requests that callers made.
  std::int64_t offered = 0;
  // Requests that may reach servers, and their repeats; less those that were
  // not sent after all. May be negative.
  std::int64_t admitted = 0;
};

// By name of an organisation that has a limit.
using RequestCounts = std::map<std::string, RequestCount, std::less<>>;

// A host's counts of its latest intervals.
struct OrganisationReport {
  // Identifies the sequence of intervals; differs after a restart of the host.
  std::int64_t sequence = 0;
  // The number of the latest interval in the sequence; 0 if there is none.
  std::int64_t interval = 0;
  // The counts of the latest interval and of those before it, latest first.
  // Each interval is repeated in the next report, so that the loss of one
  // report loses no counts.
  std::vector<RequestCounts> counts;
};

// The fractions of the organisations' requests that hosts admit.
struct OrganisationFractions {
  // By name of the organisation; between 0 and 1.
  std::map<std::string, double, std::less<>> fractions;
  // Whether all fractions below 1 are named. If not, the others are named in
  // the following heartbeats.
  bool complete = true;
};

// The bytes of names and numbers that a report holds for one interval, and that
// a heartbeat holds. A heartbeat with them fits into one Ethernet frame.
inline constexpr std::size_t kMaxIntervalBytes = 1500;
inline constexpr std::size_t kMaxFractionBytes = 900;
// The length of an organisation's entry beside its name: punctuation, and up to
// 10 digits in each of two counts.
inline constexpr std::size_t kEntryBytes = 26;

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_ORGANISATION_COUNTS_H_
