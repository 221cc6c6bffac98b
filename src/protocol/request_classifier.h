// Determines the service, request class and key of a caller's request.

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

// Service, class and key of a request, according to the service documents in
// force.
struct Classification {
  const state::ServiceConfig* service = nullptr;
  const state::RequestClass* request_class = nullptr;
  // Nullopt if the class has no key.
  std::optional<std::string> key;
};

// Why a request cannot be classified.
enum class ClassificationError {
  // No class matches the path.
  kNoClass,
  // Classes match the path, but not the method.
  kMethodNotAllowed,
  // The class has a key, but the request does not contain it.
  kNoKey,
};

// Returns the value of a header field of the request; empty if it is missing.
using HeaderLookup = std::function<std::string(std::string_view)>;

// Matches requests against the classes of all services. The path of a class
// matches as a prefix, which may end within a path segment. Of the classes with
// the method of the request, the one with the longest matching path is chosen.
class RequestClassifier {
 public:
  // The classifier shares ownership of `config`, because its results point into
  // the configuration. Results are valid as long as the configuration exists.
  explicit RequestClassifier(
      std::shared_ptr<const state::ConfigSnapshot> config);

  // Classifies a request by its method and target. On failure, returns nullopt
  // and sets `error`; on success, `error` has no meaning.
  std::optional<Classification> Classify(std::string_view method,
                                         std::string_view target,
                                         const HeaderLookup& fields,
                                         ClassificationError* error) const;

 private:
  // A class with its service.
  struct Entry {
    const state::ServiceConfig* service;
    const state::RequestClass* request_class;
  };

  const std::shared_ptr<const state::ConfigSnapshot> config_;
  // Sorted by the length of the path, longest first.
  std::vector<Entry> entries_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_REQUEST_CLASSIFIER_H_
