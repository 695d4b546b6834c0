// Cuts a stream of events into whole events, and knows the id of the last one that was passed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::gateway {

class event_splitter {
public:
    // Takes bytes and returns the whole events among what has been taken so far, which may be
    // none. The view holds until the next call. Events up to last_id() are left out.
    std::string_view take(std::string_view data);

    // A new answer continues the stream; bytes of a broken event are forgotten.
    void restart() { this->rest.clear(); }

    // Nothing is left of an event that is not whole.
    bool at_boundary() const { return this->rest.empty(); }
    std::optional<std::uint64_t> last_id() const { return this->last; }
    std::uint64_t passed() const { return this->count; }

private:
    void pass(std::string_view event);

    std::string rest;
    std::string whole;
    std::optional<std::uint64_t> last;
    std::uint64_t count = 0;
};

} // namespace samphirespool::gateway
