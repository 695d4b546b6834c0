// Implementation of the log with glog's sinks.
#include "debug/json_log.hpp"

#include "debug/json_line.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstring>
#include <fcntl.h>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace samphirespool::debug {

namespace {

// U+FFFD in UTF-8.
constexpr std::string_view truncation_mark = "\xEF\xBF\xBD";

// Turns off glog's own output to files and standard error; messages go through the sinks only.
void initialize_glog() {
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = 0;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    if (!google::IsGoogleLoggingInitialized())
        google::InitGoogleLogging("samphirespool");
}

// Writes lines to a descriptor. If buffered, lines wait in a bounded buffer until the reader
// accepts them, so that a slow reader does not block the process; lines that do not fit are dropped
// and counted as lost.
class line_output {
public:
    line_output(int descriptor, bool is_buffered)
        : descriptor(descriptor), is_buffered(is_buffered) {}
    ~line_output() {
        this->flush();
        if (this->descriptor > STDERR_FILENO)
            ::close(this->descriptor);
    }
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;

    void write(std::string_view line) {
        if (!this->is_buffered) {
            this->write_now(line);
            return;
        }
        if (this->buffered.size() + line.size() > max_buffered_bytes) {
            ++this->lost;
            return;
        }
        this->buffered.append(line);
        if (this->buffered.size() >= flush_bytes)
            this->flush();
    }

    // Writes as much as the descriptor accepts without blocking. A writable pipe accepts PIPE_BUF
    // bytes.
    void flush() {
        std::size_t written = 0;
        while (written < this->buffered.size()) {
            pollfd entry{this->descriptor, POLLOUT, 0};
            if (::poll(&entry, 1, 0) <= 0 || (entry.revents & POLLOUT) == 0)
                break;
            const auto size = std::min<std::size_t>(PIPE_BUF, this->buffered.size() - written);
            const auto count = ::write(this->descriptor, this->buffered.data() + written, size);
            if (count <= 0)
                break;
            written += static_cast<std::size_t>(count);
        }
        this->buffered.erase(0, written);
    }

    std::uint64_t lost_lines() const { return this->lost; }
    void count_lost() { ++this->lost; }

private:
    static constexpr std::size_t max_buffered_bytes = std::size_t{256} << 10;
    static constexpr std::size_t flush_bytes = 3072;

    void write_now(std::string_view line) {
        while (!line.empty()) {
            const auto count = ::write(this->descriptor, line.data(), line.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0) {
                ++this->lost;
                return;
            }
            line.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    int descriptor;
    bool is_buffered;
    std::string buffered;
    std::uint64_t lost = 0;
};

// Receives complete event lines from glog and passes them on to the output.
class event_line_sink final : public google::LogSink {
public:
    explicit event_line_sink(line_output& output) : output(output) {}

    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&,
              const char* message, std::size_t length) override {
        std::string line(message, length);
        line.push_back('\n');
        this->output.write(line);
    }

private:
    line_output& output;
};

kernel::severity from_glog(google::LogSeverity severity) {
    constexpr std::array<kernel::severity, google::NUM_SEVERITIES> levels{
        kernel::severity::info, kernel::severity::warning, kernel::severity::error,
        kernel::severity::error};
    return levels.at(static_cast<std::size_t>(severity));
}

std::string_view truncate_text(std::string_view text, std::string& storage) {
    if (text.size() <= json_log::max_text_bytes)
        return text;
    storage = text.substr(0, json_log::max_text_bytes);
    storage.append(truncation_mark);
    return storage;
}

void add_truncated_field(json_line& line, const kernel::event_field& field) {
    const auto* text = std::get_if<std::string>(&field.value);
    if (text == nullptr)
        return line.add(field);
    std::string storage;
    line.add(field.name, truncate_text(*text, storage));
}

} // namespace

std::string_view to_string(kernel::severity level) {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

// Formats and filters the lines. It is itself the glog sink for messages of libraries; event lines
// go through event_line_sink.
class json_log::glog_sinks final : public google::LogSink {
public:
    glog_sinks(json_log_options options, kernel::hybrid_clock& hybrid, const kernel::clock& time,
               int descriptor, bool is_buffered)
        : options(std::move(options)),
          hybrid(hybrid),
          time(time),
          output(descriptor, is_buffered),
          event_lines(output) {
        google::AddLogSink(this);
    }

    ~glog_sinks() override { google::RemoveLogSink(this); }

    // Whether a line of this level is to be written. Consumes one line of the level's rate limit; a
    // line beyond it is counted as lost.
    bool admit(kernel::severity level) {
        if (level < this->options.min_level)
            return false;
        if (this->options.max_lines_per_second <= 0 || this->consume_line_budget(level))
            return true;
        this->output.count_lost();
        return false;
    }

    // A line with the members that all lines have in common.
    json_line begin(kernel::severity level, std::string_view name) {
        json_line line;
        const auto now = this->hybrid.tick();
        line.add("wall", this->time.wall());
        line.add("hybrid", now.wall);
        line.add("logical", std::uint64_t{now.logical});
        line.add("level", to_string(level));
        line.add("process", this->options.process);
        line.add("event", name);
        return line;
    }

    void write_event(json_line line) {
        auto text = line.finish();
        text.pop_back();
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&this->event_lines, INFO) << text;
    }

    // Called by glog for a message that was logged with its macros.
    void send(google::LogSeverity severity, const char*, const char* file, int file_line,
              const google::LogMessageTime&, const char* message, std::size_t length) override {
        const auto level = from_glog(severity);
        if (!this->admit(level))
            return;
        auto line = this->begin(level, "glog.message");
        std::string storage;
        line.open_object("fields");
        line.add("file", std::string_view(file));
        line.add("line", std::int64_t{file_line});
        line.add("message", truncate_text({message, length}, storage));
        line.close_object();
        this->output.write(line.finish());
    }

    std::uint64_t lost_lines() const { return this->output.lost_lines(); }
    void flush() { this->output.flush(); }

private:
    struct line_budget {
        double lines = 0;
        helpers::time_point last_refill{};
    };

    // Token bucket of the level. Each level has its own, so that many info lines do not cause
    // warnings to be dropped.
    bool consume_line_budget(kernel::severity level) {
        auto& budget = this->budgets.at(static_cast<std::size_t>(level));
        const auto rate = this->options.max_lines_per_second;
        const auto now = this->time.now();
        const std::chrono::duration<double> elapsed = now - std::exchange(budget.last_refill, now);
        budget.lines = std::min(2 * rate, budget.lines + elapsed.count() * rate);
        if (budget.lines < 1)
            return false;
        budget.lines -= 1;
        return true;
    }

    std::array<line_budget, 4> budgets;
    json_log_options options;
    kernel::hybrid_clock& hybrid;
    const kernel::clock& time;
    line_output output;
    event_line_sink event_lines;
};

std::unique_ptr<json_log> json_log::open(json_log_options options, kernel::hybrid_clock& hybrid,
                                         const kernel::clock& time, kernel::error& reason) {
    constexpr int file_mode = 0640;
    const auto flags = O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC;
    const bool is_buffered = options.to_standard_output;
    const int standard_descriptor = is_buffered ? STDOUT_FILENO : STDERR_FILENO;
    const int descriptor =
        options.file.empty() ? standard_descriptor : ::open(options.file.c_str(), flags, file_mode);
    if (descriptor < 0) {
        reason = {kernel::error_kind::invalid_settings,
                  "cannot open log file " + options.file + ": " + std::strerror(errno)};
        return nullptr;
    }
    initialize_glog();
    auto sinks =
        std::make_unique<glog_sinks>(std::move(options), hybrid, time, descriptor, is_buffered);
    return std::unique_ptr<json_log>(new json_log(std::move(sinks)));
}

json_log::json_log(std::unique_ptr<glog_sinks> sinks) : sinks(std::move(sinks)) {}

json_log::~json_log() = default;

void json_log::write(kernel::severity level, std::string_view name,
                     const std::optional<helpers::request_id>& request,
                     std::initializer_list<kernel::event_field> fields) {
    if (!this->sinks->admit(level))
        return;
    auto line = this->sinks->begin(level, name);
    if (request)
        line.add("request", helpers::to_string(*request));
    std::uint64_t dropped = 0;
    if (fields.size() > 0) {
        line.open_object("fields");
        for (const auto& field : fields) {
            const auto size_before = line.size();
            add_truncated_field(line, field);
            if (line.size() <= max_line_bytes)
                continue;
            line.truncate(size_before);
            ++dropped;
        }
        line.close_object();
    }
    if (dropped > 0)
        line.add("dropped_fields", dropped);
    this->sinks->write_event(std::move(line));
}

void json_log::flush() {
    this->sinks->flush();
}

std::uint64_t json_log::lost_lines() const {
    return this->sinks->lost_lines();
}

} // namespace samphirespool::debug
