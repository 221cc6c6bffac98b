// A RequestFlow with a ServerPool, in simulated time that the test advances.

#ifndef MUSTARDFLOW_TESTS_REQUESTS_FLOW_FIXTURE_H_
#define MUSTARDFLOW_TESTS_REQUESTS_FLOW_FIXTURE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "coordination/request_flow.h"

namespace mustardflow::tests {

// Drives a RequestFlow with two services: the requests to "desk" have no keys,
// and those to "shelf" do.
class FlowFixture {
 public:
  explicit FlowFixture(std::uint64_t seed = 7)
      : random_(seed),
        pool_("near", bounds_, [this] { return RandomFraction(); }),
        flow_(view_, pool_, bounds_, [this] { return RandomFraction(); }) {
    state::ServiceRules open;
    state::ServiceRules keyed;
    keyed.keyed = true;
    view_.config = std::make_shared<state::RoutingConfig>(
        1, std::vector<state::Route>(),
        std::map<std::string, state::ServiceRules>{{"desk", open},
                                                   {"shelf", keyed}},
        state::IngressLimits());
    pool_.SetConfig(*view_.config);
    view_.table.term = 1;
    view_.table.revision = 1;
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 int slots = 6) {
    state::ServerRecord record;
    record.incarnation = {id, 1};
    record.sequence = 1;
    record.service = service;
    record.zone = "near";
    record.slots = slots;
    pool_.Update(now_, record);
  }

  // Assigns all keys of "shelf" to this server, or to none if `id` is empty.
  void SetOwner(const std::string& id) {
    state::OwnedRange range;
    range.last = state::kShardKeyCount - 1;
    range.holder = {id, 1};
    range.serving = !id.empty();
    view_.table.services["shelf"] = {range};
    ++view_.table.revision;
  }

  // Terms with a target latency of 400 ms and a deadline of 1200 ms.
  coordination::RequestTerms Terms(state::RequestKind kind,
                                   const std::string& service = "desk") const {
    coordination::RequestTerms terms;
    terms.kind = kind;
    terms.service = service;
    if (service == "shelf") {
      terms.key = 5;
    }
    terms.target_latency = std::chrono::milliseconds(400);
    terms.max_attempts = 3;
    terms.received = now_;
    terms.end = now_ + std::chrono::milliseconds(1200);
    return terms;
  }

  // The first action of this type; null if there is none.
  template <typename Action>
  static const Action* FindAction(const coordination::FlowActions& actions) {
    for (const coordination::FlowAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  // A uniformly distributed random number in [0, 1).
  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  coordination::RequestFlow& flow() { return flow_; }
  coordination::ServerPool& pool() { return pool_; }
  state::Instant& now() { return now_; }
  state::RoutingView& view() { return view_; }

 private:
  std::mt19937_64 random_;
  state::Instant now_{std::chrono::seconds(100)};
  state::ServiceBounds bounds_;
  state::RoutingView view_;
  coordination::ServerPool pool_;
  coordination::RequestFlow flow_;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_REQUESTS_FLOW_FIXTURE_H_
