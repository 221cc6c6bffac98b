// Text formats of fences and of X-Not-Run values.

#include "platform/backend_protocol.h"

#include <charconv>

namespace mustardflow::platform {

using coordination::AttemptReason;

std::string FormatFence(state::Fence fence) {
  return std::to_string(fence.term.witness_revision) + "." +
         std::to_string(fence.term.number) + "." +
         std::to_string(fence.term.instance) + "." +
         std::to_string(fence.sequence);
}

std::optional<state::Fence> ParseFence(std::string_view text) {
  state::Fence fence;
  const char* position = text.data();
  const char* end = text.data() + text.size();
  for (std::uint64_t* part : {&fence.term.witness_revision, &fence.term.number,
                              &fence.term.instance, &fence.sequence}) {
    const bool is_last = part == &fence.sequence;
    const auto parsed = std::from_chars(position, end, *part);
    const bool well_ended =
        is_last ? parsed.ptr == end : parsed.ptr != end && *parsed.ptr == '.';
    if (parsed.ec != std::errc() || !well_ended) {
      return std::nullopt;
    }
    position = parsed.ptr + (is_last ? 0 : 1);
  }
  return fence;
}

AttemptReason ReasonFromNotRun(std::string_view value) {
  if (value == kNotRunNotOwner) {
    return AttemptReason::kNotOwner;
  }
  if (value == kNotRunDeadline) {
    return AttemptReason::kDeadlinePassed;
  }
  return AttemptReason::kServerShed;
}

}  // namespace mustardflow::platform
