// The members of a service: the backend servers and entry hosts to which its
// coordinator sends orders.

#ifndef MUSTARDFLOW_COORDINATION_MEMBER_H_
#define MUSTARDFLOW_COORDINATION_MEMBER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coordination/server_ledger.h"
#include "state/time.h"

namespace mustardflow::coordination {

// The two spaces of key hashes that a coordinator divides among the members.
enum class Keyspace {
  // Keys of requests, owned by backend servers.
  kKeys,
  // Routing duties, owned by entry hosts: which host stores the outcome of a
  // request ID, and which host queues the requests for a backend server.
  kRouting,
};

// A backend server or an entry host as the configuration describes it.
struct MemberSpec {
  // Unique among the members of both keyspaces.
  std::string name;
  Keyspace keyspace = Keyspace::kKeys;
  // Capacity relative to the other members of the keyspace.
  double weight = 1;
  // False while the member, its host or its availability zone is being taken
  // out of service.
  bool in_service = true;

  bool operator==(const MemberSpec&) const = default;
};

// What a coordinator knows about one member.
struct Member {
  Member(MemberSpec member_spec, const OwnershipTiming& timing, bool is_listed)
      : spec(std::move(member_spec)), ledger(timing), listed(is_listed) {}

  MemberSpec spec;
  ServerLedger ledger;
  // Whether the configuration in force lists the member. A witness and a member
  // that still hands its slices off need not be listed.
  bool listed;
  // When the member first answered in this term or since it last lost its
  // lease. Empty while it does not answer.
  std::optional<state::Instant> answering_since;
  // The member must have answered for this long before it may own slices.
  state::Duration rejoin_delay{0};
  // Whether the member's assignment has changed since an order was last sent.
  bool dirty = false;
  // Whether the member was eligible to own slices at the last tick.
  bool was_eligible = false;
};

// By name. A std::map, because slices hold pointers to its elements.
using Members = std::map<std::string, Member>;

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_MEMBER_H_
