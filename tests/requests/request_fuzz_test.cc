// Checks the invariants of RequestFlow under random sequences of events.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "tests/requests/flow_fixture.h"

namespace mustardflow::tests {

namespace {

using coordination::AbortAttempt;
using coordination::AttemptId;
using coordination::FinishRequest;
using coordination::FlowActions;
using coordination::ReportAttempt;
using coordination::RequestId;
using coordination::RequestOutcome;
using coordination::SendAttempt;
using coordination::SendResult;
using state::RequestKind;
using std::chrono::milliseconds;

// Whether the server may have run a request whose attempt has this result.
bool MayHaveRun(SendResult result) {
  switch (result) {
    case SendResult::kLost:
    case SendResult::kAnswered:
    case SendResult::kFailed:
    case SendResult::kUntrusted:
    case SendResult::kGateUnknown:
    case SendResult::kGateTimedOut:
      return true;
    case SendResult::kNotConnected:
    case SendResult::kNotOwner:
    case SendResult::kRefused:
    case SendResult::kGateRefused:
    case SendResult::kGateRejected:
      return false;
  }
  return true;
}

// Whether nothing was sent to a server.
bool NothingSent(SendResult result, bool at_gate) {
  return result == SendResult::kNotConnected ||
         (at_gate && result == SendResult::kGateRejected);
}

constexpr int kSendResults = static_cast<int>(SendResult::kGateTimedOut) + 1;

// What the test knows about a request, independently of RequestFlow.
struct RequestModel {
  RequestKind kind = RequestKind::kIdempotent;
  state::Instant end;
  std::set<AttemptId> in_flight;
  std::set<AttemptId> connected;
  std::set<AttemptId> at_gate;
  // The number of ended attempts at which something was sent to a server.
  int reached = 0;
  bool may_have_run = false;
  bool caller_disconnected = false;
  bool finished = false;
};

// Applies random events to a RequestFlow and checks its actions against a
// RequestModel of each request.
class FlowModel {
 public:
  // `by_priority`: requests of three priorities may wait at the host.
  FlowModel(std::uint64_t seed, bool by_priority) : fixture_(seed) {
    if (by_priority) {
      fixture_.pool().EstimateByKind();
      fixture_.flow().AdmitByPriority();
    }
    for (int i = 0; i < 4; ++i) {
      // With one slot, requests have to wait.
      const int slots = by_priority ? 1 : 6;
      fixture_.AddServer("d" + std::to_string(i), "desk", slots);
      fixture_.AddServer("k" + std::to_string(i), "shelf", slots);
    }
    fixture_.SetOwner("k0");
  }

  void Start(RequestKind kind, bool keyed) {
    const RequestId id = ++last_request_;
    RequestModel& request_state = requests_[id];
    auto terms = fixture_.Terms(kind, keyed ? "shelf" : "desk");
    terms.priority = static_cast<int>(id % 3);
    terms.route = "route" + std::to_string(*terms.priority);
    request_state.kind = kind;
    request_state.end = terms.end;
    Check(fixture_.flow().Start(fixture_.now(), id, std::move(terms)));
  }

  void Connect(int pick) {
    if (const auto chosen = PickAttempt(pick)) {
      requests_[chosen->first].connected.insert(chosen->second);
      fixture_.flow().HandleConnected(chosen->first, chosen->second);
    }
  }

  void EndAttempt(int pick, SendResult result) {
    const auto chosen = PickAttempt(pick);
    if (!chosen) {
      return;
    }
    RequestModel& request_state = requests_[chosen->first];
    request_state.in_flight.erase(chosen->second);
    request_state.may_have_run =
        request_state.may_have_run || MayHaveRun(result);
    const bool at_gate = request_state.at_gate.contains(chosen->second);
    request_state.reached += NothingSent(result, at_gate) ? 0 : 1;
    last_result_ = result;
    Check(fixture_.flow().HandleResult(fixture_.now(), chosen->first,
                                       chosen->second, result));
  }

  void DisconnectCaller(int pick) {
    if (requests_.empty()) {
      return;
    }
    const RequestId id = 1 + static_cast<RequestId>(pick) % last_request_;
    requests_[id].caller_disconnected = true;
    Check(fixture_.flow().HandleCallerDisconnect(fixture_.now(), id));
  }

  void MoveKeys(int pick) {
    fixture_.SetOwner(pick % 3 == 0 ? "" : "k" + std::to_string(pick % 4));
    Check(fixture_.flow().HandleTableChange(fixture_.now()));
  }

  // Gives a keyed server a gate, or removes it.
  void ChangeGate(int pick) {
    const std::string server = "k" + std::to_string(pick % 4);
    if (pick % 3 == 0) {
      fixture_.view().table.gates.erase(server);
    } else {
      fixture_.view().table.gates[server] = {
          "10.0.0.1", static_cast<std::uint16_t>(7200 + pick % 5)};
    }
    MoveKeys(pick + 1);
  }

  void AdvanceTime(milliseconds time) {
    fixture_.now() += time;
    Check(fixture_.flow().Tick(fixture_.now()));
    for (const auto& [id, request_state] : requests_) {
      RC_ASSERT(request_state.finished || fixture_.now() < request_state.end);
    }
  }

  void Finish() { AdvanceTime(milliseconds(2000)); }

 private:
  std::optional<std::pair<RequestId, AttemptId>> PickAttempt(int pick) {
    std::vector<std::pair<RequestId, AttemptId>> all;
    for (const auto& [id, request_state] : requests_) {
      for (const AttemptId attempt : request_state.in_flight) {
        all.emplace_back(id, attempt);
      }
    }
    if (all.empty()) {
      return std::nullopt;
    }
    return all[static_cast<std::size_t>(pick) % all.size()];
  }

  void Check(const FlowActions& actions) {
    struct Visitor {
      FlowModel* model;
      void operator()(const SendAttempt& a) const { model->HandleSend(a); }
      void operator()(const AbortAttempt& a) const { model->HandleAbort(a); }
      void operator()(const FinishRequest& a) const { model->HandleFinish(a); }
      void operator()(const ReportAttempt&) const {}
    };
    for (const coordination::FlowAction& action : actions) {
      std::visit(Visitor{this}, action);
    }
  }

  void HandleSend(const SendAttempt& send) {
    RequestModel& request_state = requests_.at(send.request);
    RC_ASSERT(!request_state.finished);
    RC_ASSERT(!request_state.caller_disconnected);
    if (request_state.kind == RequestKind::kNonIdempotent) {
      // The request must be run at most once.
      RC_ASSERT(!request_state.may_have_run);
      RC_ASSERT(request_state.in_flight.empty());
    }
    RC_ASSERT(request_state.reached +
                  static_cast<int>(request_state.in_flight.size()) <
              3);
    request_state.in_flight.insert(send.attempt);
    if (send.gate) {
      request_state.at_gate.insert(send.attempt);
    }
  }

  void HandleAbort(const AbortAttempt& abort) {
    RequestModel& request_state = requests_.at(abort.request);
    RC_ASSERT(request_state.in_flight.erase(abort.attempt) == 1);
    // A request that was connected to a server may have been run.
    request_state.may_have_run =
        request_state.may_have_run ||
        request_state.connected.contains(abort.attempt);
  }

  void HandleFinish(const FinishRequest& conclusion) {
    RequestModel& request_state = requests_.at(conclusion.request);
    RC_ASSERT(!request_state.finished);
    RC_ASSERT(request_state.in_flight.empty());
    request_state.finished = true;
    if (conclusion.outcome == RequestOutcome::kRefused) {
      RC_ASSERT(!request_state.may_have_run);
    }
    if (conclusion.outcome == RequestOutcome::kAnswered) {
      RC_ASSERT(last_result_ == SendResult::kAnswered);
    }
  }

  FlowFixture fixture_;
  RequestId last_request_ = 0;
  std::map<RequestId, RequestModel> requests_;
  SendResult last_result_ = SendResult::kNotConnected;
};

}  // namespace

TEST_CASE("the invariants of requests hold under random events", "[A1][A2]") {
  const bool by_priority = GENERATE(false, true);
  CHECK(rc::check([by_priority](std::uint64_t seed) {
    FlowModel model(seed, by_priority);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000)));
    for (const auto& [step, pick] : steps) {
      switch (step) {
        case 0:
        case 1:
          model.Start(pick % 2 == 0 ? RequestKind::kNonIdempotent
                                    : RequestKind::kIdempotent,
                      pick % 3 == 0);
          break;
        case 2:
        case 3:
          model.Connect(pick);
          break;
        case 4:
        case 5:
          model.EndAttempt(pick / kSendResults,
                           static_cast<SendResult>(pick % kSendResults));
          break;
        case 6:
          model.DisconnectCaller(pick);
          break;
        case 7:
          model.MoveKeys(pick);
          break;
        case 8:
          model.ChangeGate(pick);
          break;
        default:
          model.AdvanceTime(milliseconds(pick % 250));
          break;
      }
    }
    model.Finish();
  }));
}

}  // namespace mustardflow::tests
