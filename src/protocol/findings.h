// Problems that a check finds in a document or in settings, with their
// location.

#ifndef MUSTARDFLOW_PROTOCOL_FINDINGS_H_
#define MUSTARDFLOW_PROTOCOL_FINDINGS_H_

#include <string>
#include <utility>
#include <vector>

namespace mustardflow::protocol {

// One problem of an input.
struct Finding {
  // A JSON pointer, or "line N, column N".
  std::string location;
  std::string problem;
  // What the author of the input should do.
  std::string remedy;
};

// Collects all findings of one input, so that they are reported together rather
// than only the first one.
class Findings {
 public:
  void Add(std::string location, std::string problem, std::string remedy) {
    list_.push_back(
        {std::move(location), std::move(problem), std::move(remedy)});
  }

  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  // One line for each finding: "FILE: LOCATION: PROBLEM; REMEDY".
  std::string Report(const std::string& file) const;

 private:
  std::vector<Finding> list_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_FINDINGS_H_
