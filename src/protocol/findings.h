// Findings: what a check of an input found, each with its place.

#ifndef MUSTARDFLOW_PROTOCOL_FINDINGS_H_
#define MUSTARDFLOW_PROTOCOL_FINDINGS_H_

#include <string>
#include <utility>
#include <vector>

namespace mustardflow::protocol {

// One thing wrong with an input.
struct Finding {
  // A JSON pointer, or "line N, column N".
  std::string location;
  std::string problem;
  std::string remedy;
};

// Collects all findings of one input, so that they are reported together.
class Findings {
 public:
  void Add(std::string location, std::string problem, std::string remedy) {
    list_.push_back(
        {std::move(location), std::move(problem), std::move(remedy)});
  }

  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }

  // One line for each finding: "FILE: PLACE: PROBLEM; REMEDY".
  std::string Report(const std::string& file) const;

 private:
  std::vector<Finding> list_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_FINDINGS_H_
