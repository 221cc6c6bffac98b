// What a backend server announces about itself in its answers, and what is in
// force of that.

#ifndef MUSTARDFLOW_COORDINATION_ANNOUNCED_STATE_H_
#define MUSTARDFLOW_COORDINATION_ANNOUNCED_STATE_H_

#include <optional>

#include "state/time.h"

namespace mustardflow::coordination {

// A limit that no answer has stated for this time may have ended: a server
// without traffic cannot announce the end.
inline constexpr state::Duration kLimitLifetime = std::chrono::seconds(60);

// The announcements in one answer of a server.
struct ServerAnnouncement {
  // The requests per second that the server accepts from all hosts together.
  // An answer without a value states that there is no limit.
  std::optional<double> rate_limit;
  bool leaving = false;
  // How long the server wants no further request from this host.
  std::optional<state::Duration> pause;
  // Whether the answer is certainly that of the server. Only such an answer can
  // end or raise a limit.
  bool certain = false;
};

// What one incarnation of a server has announced to this host.
class AnnouncedState {
 public:
  // Applies an answer that arrived at `now`, to a request that was sent at
  // `sent`. Returns whether a limit began, changed or ended, or whether the
  // server began to leave or to pause.
  bool Record(state::Instant now,
              state::Instant sent,
              const ServerAnnouncement& announcement);

  // Sets the limit that the leader publishes, with nullopt for its stated end:
  // what other hosts know. It counts if it has changed after an answer to this
  // host last stated the limit or its end.
  void SetPublishedLimit(state::Instant now, std::optional<double> rate);
  // The leader publishes nothing of the server any more.
  void ClearPublishedLimit() { published_.reset(); }

  // The limit in force, in requests per second over all hosts. Once it may have
  // ended, it grows, so that the hosts do not all send at once to ask.
  std::optional<double> RateLimit(state::Instant now) const;
  // When the server first announced a limit.
  std::optional<state::Instant> first_limited_at() const {
    return first_limited_at_;
  }
  // The limit that an answer to this host last stated.
  std::optional<double> stated_limit() const { return rate_limit_; }
  // When an answer last stated the limit or its end. Nullopt before the first
  // limit.
  std::optional<state::Instant> limit_stated_at() const {
    return limit_stated_at_;
  }
  // Since when the server has been leaving. An announcement holds until the
  // server ends.
  std::optional<state::Instant> leaving_since() const { return leaving_since_; }
  // Until when the server wants no requests from this host.
  state::Instant paused_until() const { return paused_until_; }

 private:
  bool RecordLimit(state::Instant now,
                   state::Instant sent,
                   const ServerAnnouncement& announcement);

  // What the leader publishes, and since when.
  struct Published {
    std::optional<double> rate;
    state::Instant since;
  };

  // Whether `published_` is newer than what this host was told.
  bool PublishedIsNewer() const {
    return published_ &&
           (!limit_stated_at_ || published_->since > *limit_stated_at_);
  }

  std::optional<Published> published_;
  std::optional<double> rate_limit_;
  std::optional<state::Instant> first_limited_at_;
  std::optional<state::Instant> limit_stated_at_;
  std::optional<state::Instant> leaving_since_;
  state::Instant paused_until_{};
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ANNOUNCED_STATE_H_
