// Finds the service, class and key of a caller's request.

#ifndef MUSTARDFLOW_PROTOCOL_REQUEST_CLASSIFIER_H_
#define MUSTARDFLOW_PROTOCOL_REQUEST_CLASSIFIER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/config.h"

namespace mustardflow::protocol {

// What a request is, according to the documents in force.
struct Classification {
  const state::ServiceConfig* service = nullptr;
  const state::RequestClass* request_class = nullptr;
  // The key, if the class is keyed.
  std::optional<std::string> key;
};

// Why a request has no classification.
enum class ClassificationError {
  kNoClass,
  kMethodNotAllowed,
  kNoKey,
};

// Looks up a header field of the request; empty if it is missing.
using HeaderLookup = std::function<std::string(std::string_view)>;

// Matches requests against the classes of all services. The longest matching
// path wins.
class RequestClassifier {
 public:
  // `config` is kept alive, since results refer to it.
  explicit RequestClassifier(
      std::shared_ptr<const state::ConfigSnapshot> config);

  // Classifies a request by method and target. On failure returns nothing and
  // sets `error`.
  std::optional<Classification> Classify(std::string_view method,
                                         std::string_view target,
                                         const HeaderLookup& fields,
                                         ClassificationError* error) const;

 private:
  struct Entry {
    const state::ServiceConfig* service;
    const state::RequestClass* request_class;
  };

  const std::shared_ptr<const state::ConfigSnapshot> config_;
  // Longest path first.
  std::vector<Entry> entries_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_REQUEST_CLASSIFIER_H_
