// Matching of request paths and extraction of keys.

#include "protocol/request_classifier.h"

#include <algorithm>
#include <map>
#include <utility>

#include "protocol/url.h"

namespace mustardflow::protocol {

namespace {

// Extracts the key from the place in a request that a class names. Returns
// nullopt if the request does not contain the key, or if it is empty.
struct KeyExtractor {
  std::string_view path;
  const std::map<std::string, std::string>& query;
  const HeaderLookup& fields;

  std::optional<std::string> operator()(const state::NoKey&) const {
    return std::nullopt;
  }

  std::optional<std::string> operator()(const state::KeyInPath& source) const {
    std::string_view rest = path;
    for (int segment = 0; !rest.empty(); ++segment) {
      rest.remove_prefix(1);
      const std::string_view text = rest.substr(0, rest.find('/'));
      if (segment == source.segment) {
        return NonEmpty(DecodeUrlComponent(text));
      }
      rest.remove_prefix(text.size());
    }
    return std::nullopt;
  }

  std::optional<std::string> operator()(const state::KeyInQuery& source) const {
    const auto found = query.find(source.parameter);
    return found == query.end() ? std::nullopt : NonEmpty(found->second);
  }

  std::optional<std::string> operator()(
      const state::KeyInHeader& source) const {
    return NonEmpty(fields(source.field));
  }

  static std::optional<std::string> NonEmpty(std::string text) {
    if (text.empty()) {
      return std::nullopt;
    }
    return text;
  }
};

}  // namespace

RequestClassifier::RequestClassifier(
    std::shared_ptr<const state::ConfigSnapshot> config)
    : config_(std::move(config)) {
  for (const auto& [name, service] : config_->services) {
    for (const state::RequestClass& request_class : service.document.classes) {
      entries_.push_back({&service, &request_class});
    }
  }
  std::stable_sort(entries_.begin(), entries_.end(),
                   [](const Entry& left, const Entry& right) {
                     return left.request_class->path.size() >
                            right.request_class->path.size();
                   });
}

std::optional<Classification> RequestClassifier::Classify(
    std::string_view method,
    std::string_view target,
    const HeaderLookup& fields,
    ClassificationError* error) const {
  std::string path;
  std::map<std::string, std::string> query;
  SplitRequestTarget(target, &path, &query);
  *error = ClassificationError::kNoClass;
  for (const Entry& entry : entries_) {
    if (!path.starts_with(entry.request_class->path)) {
      continue;
    }
    if (entry.request_class->method != method) {
      *error = ClassificationError::kMethodNotAllowed;
      continue;
    }
    Classification result{entry.service, entry.request_class, std::nullopt};
    const state::KeySource& source = entry.request_class->key;
    if (!std::holds_alternative<state::NoKey>(source)) {
      result.key = std::visit(KeyExtractor{path, query, fields}, source);
      if (!result.key) {
        *error = ClassificationError::kNoKey;
        return std::nullopt;
      }
    }
    return result;
  }
  return std::nullopt;
}

}  // namespace mustardflow::protocol
