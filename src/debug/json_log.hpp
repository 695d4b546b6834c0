// The log of a process: writes events and the messages that libraries log with glog as JSON lines
// to one file, standard error or standard output. Format of a line:
//   {"wall":1764804629123,"hybrid":1764804629123,"logical":0,"level":"info","process":"router-a1",
//    "event":"request.sent","request":"00f1..-1-2a","fields":{...}}
// wall and hybrid are in milliseconds since the Unix epoch; hybrid and logical are the hybrid
// logical time, which orders the lines of all processes. "request" is left out if the event belongs
// to no request, "fields" if an event has none.
#pragma once

#include "kernel/clock.hpp"
#include "kernel/error.hpp"
#include "kernel/event.hpp"
#include "kernel/hybrid_clock.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::debug {

// The name of a level in the log: debug, info, warning or error.
std::string_view to_string(kernel::severity level);

struct json_log_options {
    // Name of the process, for the member "process" of each line.
    std::string process;
    // Path of the log file. Empty: standard error, or standard output if to_standard_output is set.
    std::string file;
    // Lines below this level are not written.
    kernel::severity min_level = kernel::severity::info;
    // Writes without blocking on the reader of standard output: lines wait in a bounded buffer, and
    // those that do not fit are dropped and counted as lost.
    bool to_standard_output = false;
    // Rate limit of each level in lines per second, with a burst of two seconds' worth of lines; 0:
    // no limit. Lines beyond the limit are dropped and counted as lost.
    double max_lines_per_second = 0;
};

// A process may have only one json_log at a time because glog's settings are global. Opening the
// first one turns off glog's own output to files and standard error.
class json_log final : public kernel::event_sink {
public:
    // Returns null and sets the reason if the file cannot be opened. hybrid provides the time
    // stamps of the lines; both clocks must outlive the log.
    static std::unique_ptr<json_log> open(json_log_options options, kernel::hybrid_clock& hybrid,
                                          const kernel::clock& time, kernel::error& reason);
    ~json_log() override;

    void write(kernel::severity level, std::string_view name,
               const std::optional<helpers::request_id>& request,
               std::initializer_list<kernel::event_field> fields) override;

    // Writes as many buffered lines as the descriptor accepts without blocking.
    void flush();

    // Lines that were dropped by the rate limit or the buffer's bound, or whose write failed.
    std::uint64_t lost_lines() const;

    // Longer text fields are truncated, with U+FFFD appended.
    static constexpr std::size_t max_text_bytes = 2048;
    // A field that makes the line longer than this is left out and counted in "dropped_fields".
    // Invariant: a line with one more field stays below glog's limit of 30,000 bytes.
    static constexpr std::size_t max_line_bytes = 16'000;

private:
    class glog_sinks;

    explicit json_log(std::unique_ptr<glog_sinks> sinks);

    std::unique_ptr<glog_sinks> sinks;
};

} // namespace samphirespool::debug
