// Splits a byte stream of server-sent events into complete events and records the id of the last
// one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::gateway {

class event_splitter {
public:
    // Appends bytes and returns the events that they complete, which may be none. Events whose id
    // is not above last_id() are dropped. The view is valid until the next call.
    std::string_view append(std::string_view data);

    // Drops the bytes of an incomplete event. Called before another response continues the stream.
    void discard_partial() { this->partial.clear(); }

    // Bytes of the incomplete event.
    std::size_t partial_bytes() const { return this->partial.size(); }
    // True if no bytes of an incomplete event are buffered.
    bool at_boundary() const { return this->partial.empty(); }
    std::optional<std::uint64_t> last_id() const { return this->last_event_id; }
    // Number of events that append() has returned.
    std::uint64_t event_count() const { return this->emitted; }

private:
    void emit(std::string_view event);

    std::string partial;
    std::string complete;
    std::optional<std::uint64_t> last_event_id;
    std::uint64_t emitted = 0;
};

} // namespace samphirespool::gateway
