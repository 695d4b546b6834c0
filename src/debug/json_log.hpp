// The log of a process: events and glog's own messages as JSON lines in one file or on standard
// error. A line is
//   {"wall":1764804629123,"hybrid":1764804629123,"logical":0,"level":"info","process":"router-a1",
//    "event":"request.sent","request":"00f1..-1-2a","fields":{...}}
// wall and hybrid in milliseconds since the Unix epoch; hybrid and logical order the lines of all
// processes. "request" is left out where there is none.
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

// The name of a level as it stands in the log: debug, info, warning or error.
std::string_view to_string(kernel::severity level);

struct json_log_options {
    std::string process;
    // Empty: standard error, or standard output if that is wanted.
    std::string file;
    kernel::severity least_level = kernel::severity::info;
    // Lines go to standard output without ever waiting for its reader; they are kept in a bounded
    // buffer meanwhile, and those that do not fit are lost and counted.
    bool to_standard_output = false;
    // Lines of one level a second, with twice as many at once; 0: not bounded. Lines beyond are
    // lost.
    double max_lines_per_second = 0;
};

// A process has one at a time, as glog's settings are global. glog's own output to files and
// standard error is off from the first one on.
class json_log final : public kernel::event_sink {
public:
    // Returns nothing and sets the reason if the file cannot be opened.
    static std::unique_ptr<json_log> open(json_log_options options, kernel::hybrid_clock& order,
                                          const kernel::clock& time, kernel::error& reason);
    ~json_log() override;

    void write(kernel::severity level, std::string_view name,
               const std::optional<helpers::request_id>& request,
               std::initializer_list<kernel::event_field> fields) override;

    // Writes buffered lines as far as they are taken at once.
    void flush();

    // Lines that the file or standard error did not take.
    std::uint64_t lost_lines() const;

    // Longer text fields are cut, with U+FFFD at the end.
    static constexpr std::size_t max_text_bytes = 2048;
    // Fields beyond this are left out and counted in "dropped_fields". Invariant: a line with one
    // more field stays below glog's limit of 30,000 bytes.
    static constexpr std::size_t max_line_bytes = 16'000;

private:
    class glog_sinks;

    explicit json_log(std::unique_ptr<glog_sinks> sinks);

    std::unique_ptr<glog_sinks> sinks;
};

} // namespace samphirespool::debug
