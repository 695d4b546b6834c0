// A collection of named objects that another system keeps, followed by listing it once and then
// waiting for changes.
#pragma once

#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphirespool::discovery {

enum class collection : std::uint8_t {
    configuration,
    targets,
    // Data centres that are to get no new work.
    departures,
    // The gateways themselves.
    members,
};

std::string_view to_string(collection which);

struct feed_object {
    std::string name;
    // JSON, as its writer left it.
    std::string content;
    bool is_removed = false;
};

struct feed_page {
    std::vector<feed_object> objects;
    // The list goes on after the last object of this page.
    bool more = false;
    // Watching continues from here.
    std::uint64_t revision = 0;
};

// Changes between the wanted revision and now are no longer known.
struct history_lost {};

using feed_answer = std::variant<feed_page, history_lost, kernel::error>;
using feed_task = std::function<void(feed_answer)>;

// A running call; destroying it cancels the call, and its task does not run.
class feed_call {
public:
    virtual ~feed_call() = default;
};

// How long the calls of a source may take.
struct call_timeouts {
    helpers::duration connect = std::chrono::milliseconds(700);
    // Calls that do not wait are answered in milliseconds; a slow source takes some hundred.
    helpers::duration answer = std::chrono::milliseconds(1500);
    // Of a watch beyond its wait: the way there and back and a slow source.
    helpers::duration watch_slack = std::chrono::milliseconds(700);
};

class feed_source {
public:
    virtual ~feed_source() = default;

    // The objects whose names come after `after`; empty: from the start.
    virtual std::unique_ptr<feed_call> list(collection which, std::string_view after,
                                            feed_task done) = 0;

    // Answers when something has changed since the revision, or after `wait` with no objects.
    virtual std::unique_ptr<feed_call> watch(collection which, std::uint64_t since,
                                             helpers::duration wait, feed_task done) = 0;

    // Creates an object of the gateway's own, or replaces it. The task gets an error of kind
    // `conflict` if it exists, or `not_found` if there is none to replace.
    virtual std::unique_ptr<feed_call> create(collection which, std::string_view name,
                                              std::string_view content, feed_task done) = 0;
    virtual std::unique_ptr<feed_call> replace(collection which, std::string_view name,
                                               std::string_view content, feed_task done) = 0;
    virtual std::unique_ptr<feed_call> remove(collection which, std::string_view name,
                                              feed_task done) = 0;
};

// Takes what a feed brings, in order.
class feed_receiver {
public:
    virtual ~feed_receiver() = default;

    // The whole collection; what is not in it is gone.
    virtual void replace(const std::vector<feed_object>& objects) = 0;
    virtual void change(const feed_object& object) = 0;

    // The source did not answer, or answers again.
    virtual void lost() {}
    virtual void regained() {}
};

} // namespace samphirespool::discovery
