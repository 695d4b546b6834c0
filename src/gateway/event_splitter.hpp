// Splits a byte stream of server-sent events into complete events, records the id of the last one,
// and judges whether another response continues the stream behind it.
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

    // Drops the bytes of an incomplete event, and expects a response that continues the stream if
    // it has begun.
    void begin_response();
    // The stream began in an earlier request, whose caller has received the events up to this one.
    void resume_after(std::uint64_t id);

    // Whether the response does not continue the stream: its first event is not the next one. The
    // events of such a response are not returned.
    bool is_out_of_order() const { return this->out_of_order; }

    // Bytes of the incomplete event.
    std::size_t partial_bytes() const { return this->partial.size(); }
    // True if no bytes of an incomplete event are buffered.
    bool at_boundary() const { return this->partial.empty(); }
    std::optional<std::uint64_t> last_id() const { return this->last_event_id; }
    // Number of events that append() has returned.
    std::uint64_t event_count() const { return this->emitted; }

private:
    void emit(std::string_view event);
    // Whether an event with this id may be the next one. Its distance from the last one is at most
    // the largest one between two events so far.
    bool is_next(std::optional<std::uint64_t> id) const;

    std::string partial;
    std::string complete;
    std::optional<std::uint64_t> last_event_id;
    std::uint64_t emitted = 0;
    // Between the ids of two events; 0 while no two are known.
    std::uint64_t largest_step = 0;
    // The stream has begun, and no event of the current response was returned yet.
    bool is_continuing = false;
    bool out_of_order = false;
};

} // namespace samphirespool::gateway
