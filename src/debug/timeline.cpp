// Merging of logs and the text form of the time line.
#include "debug/timeline.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>

namespace samphirespool::debug {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 8> known_members{"wall",    "hybrid", "logical", "level",
                                                        "process", "event",  "request", "fields"};

std::optional<std::int64_t> integer(const json& line, const char* name) {
    const auto found = line.find(name);
    if (found == line.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

std::string text(const json& line, const char* name) {
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : "";
}

bool is_known(const std::string& name) {
    return std::find(known_members.begin(), known_members.end(), name) != known_members.end();
}

std::string dump(const json& value) {
    constexpr bool ascii_only = true;
    return value.dump(-1, ' ', ascii_only, json::error_handler_t::replace);
}

// Adds the events of one log to the time line and collects the log's statistics.
class log_reader {
public:
    log_reader(timeline& merged, std::string name) : merged(merged), source(merged.sources.size()) {
        this->merged.sources.push_back({std::move(name)});
    }

    void read(std::string_view rest) {
        while (!rest.empty()) {
            const auto end = std::min(rest.find('\n'), rest.size());
            this->read_line(rest.substr(0, end));
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }

private:
    log_statistics& statistics() { return this->merged.sources[this->source]; }

    void read_line(std::string_view line) {
        if (line.empty())
            return;
        ++this->statistics().lines;
        constexpr bool with_exceptions = false;
        const auto parsed = json::parse(line, nullptr, with_exceptions);
        if (!parsed.is_object()) {
            ++this->statistics().unreadable;
            return;
        }
        const auto hybrid = integer(parsed, "hybrid");
        const auto logical = integer(parsed, "logical");
        timeline_entry entry{.process = text(parsed, "process"), .event = text(parsed, "event")};
        constexpr auto max_logical = std::numeric_limits<std::uint32_t>::max();
        if (!hybrid || !logical || *logical < 0 || *logical > max_logical ||
            entry.process.empty() || entry.event.empty()) {
            ++this->statistics().incomplete;
            return;
        }
        entry.time = {*hybrid, static_cast<std::uint32_t>(*logical)};
        entry.wall = integer(parsed, "wall").value_or(*hybrid);
        entry.level = text(parsed, "level");
        entry.request = text(parsed, "request");
        entry.source = this->source;
        entry.fields = dump(this->fields(parsed));
        this->add_entry(std::move(entry));
    }

    json fields(const json& line) {
        json result = json::object();
        if (const auto found = line.find("fields"); found != line.end() && found->is_object())
            result = *found;
        bool has_unknown = false;
        for (const auto& [name, value] : line.items()) {
            if (is_known(name))
                continue;
            has_unknown = true;
            result.emplace(name, value);
        }
        if (has_unknown)
            ++this->statistics().with_unknown_members;
        return result;
    }

    void add_entry(timeline_entry entry) {
        ++this->statistics().events;
        auto& latest = this->latest[entry.process];
        if (entry.time < latest)
            ++this->statistics().backwards;
        latest = std::max(latest, entry.time);
        this->merged.entries.push_back(std::move(entry));
    }

    timeline& merged;
    std::size_t source;
    // Latest hybrid time of each process in this log.
    std::map<std::string, kernel::hybrid_time> latest;
};

std::string wall_text(helpers::wall_milliseconds wall) {
    const auto seconds = static_cast<std::time_t>(wall / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> buffer;
    const auto length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    const auto milliseconds = std::to_string(1000 + wall % 1000).substr(1);
    return std::string(buffer.data(), length) + milliseconds + "Z";
}

std::string statistics_text(const log_statistics& statistics) {
    return "# " + statistics.name + ": " + std::to_string(statistics.lines) + " lines, " +
           std::to_string(statistics.events) + " events, " + std::to_string(statistics.unreadable) +
           " unreadable, " + std::to_string(statistics.incomplete) + " incomplete, " +
           std::to_string(statistics.with_unknown_members) + " with unknown members, " +
           std::to_string(statistics.backwards) + " backwards\n";
}

} // namespace

timeline merge_logs(std::span<const log_text> logs) {
    timeline merged;
    for (const auto& log : logs)
        log_reader(merged, log.name).read(log.text);
    std::stable_sort(merged.entries.begin(), merged.entries.end(),
                     [](const timeline_entry& a, const timeline_entry& b) {
                         return std::tie(a.time, a.process) < std::tie(b.time, b.process);
                     });
    return merged;
}

std::string timeline_text(const timeline& merged) {
    std::size_t width = 0;
    for (const auto& entry : merged.entries)
        width = std::max(width, entry.process.size());
    std::string out;
    for (const auto& entry : merged.entries) {
        out.append(wall_text(entry.time.wall) + "+" + std::to_string(entry.time.logical) + " ");
        out.append(entry.process).append(width - entry.process.size() + 1, ' ');
        out.append(entry.level + " " + entry.event);
        if (!entry.request.empty())
            out.append(" " + entry.request);
        if (entry.fields != "{}")
            out.append(" " + entry.fields);
        out.push_back('\n');
    }
    for (const auto& statistics : merged.sources)
        out.append(statistics_text(statistics));
    return out;
}

} // namespace samphirespool::debug
