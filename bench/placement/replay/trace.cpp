// Parser of trace files.
#include "bench/placement/replay/trace.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

namespace samphirespool::replay {

namespace {

using statement = std::function<void(std::istringstream&, trace&)>;

void read_service(std::istringstream& line, trace& read) {
    traced_service service;
    line >> service.name >> service.targets >> service.warm_capacity >> service.cold_allowance >>
        service.cache_tokens;
    read.services.push_back(service);
}

void read_traffic(std::istringstream& line, trace& read) {
    traced_traffic traffic;
    line >> traffic.service >> traffic.requests_per_second >> traffic.organisations >>
        traffic.documents >> traffic.document_tokens >> traffic.turn_tokens >>
        traffic.output_tokens >> traffic.recent_share >> traffic.old_share >> traffic.old_chats;
    read.traffic.push_back(traffic);
}

void read_event(std::istringstream& line, trace& read) {
    static const std::map<std::string, traced_action> actions{
        {"leave", traced_action::drain_centre},        {"return", traced_action::return_centre},
        {"lose", traced_action::lose_target},          {"restart", traced_action::restart_target},
        {"turn-cold", traced_action::make_cold},       {"surge", traced_action::surge},
        {"stop-reports", traced_action::stop_reports},
    };
    traced_event event;
    std::string action;
    line >> event.at_seconds >> action;
    const auto entry = actions.find(action);
    if (entry == actions.end()) {
        line.setstate(std::ios::failbit);
        return;
    }
    event.action = entry->second;
    const bool of_target = event.action == traced_action::lose_target ||
                           event.action == traced_action::restart_target ||
                           event.action == traced_action::make_cold;
    if (of_target)
        line >> event.service;
    if (event.action == traced_action::surge)
        line >> event.subject >> event.factor >> event.seconds;
    else if (event.action != traced_action::stop_reports)
        line >> event.subject;
    read.events.push_back(event);
}

void read_expectation(std::istringstream& line, trace& read) {
    expectation expected;
    std::string comparison;
    line >> expected.figure >> comparison >> expected.bound;
    expected.at_most = comparison == "<=";
    if (!expected.at_most && comparison != ">=")
        line.setstate(std::ios::failbit);
    read.expectations.push_back(expected);
}

template <class Value>
statement member(Value trace::*where) {
    return [where](std::istringstream& line, trace& read) { line >> read.*where; };
}

const std::map<std::string, statement>& statements() {
    static const std::map<std::string, statement> table{
        {"name", member(&trace::name)},
        {"seed", member(&trace::seed)},
        {"seconds", member(&trace::seconds)},
        {"routers", member(&trace::routers)},
        {"regions", member(&trace::regions)},
        {"data-centres", member(&trace::data_centres)},
        {"view-lag", member(&trace::view_lag_seconds)},
        {"load-multiple", member(&trace::load_multiple)},
        {"deadline", member(&trace::deadline_seconds)},
        {"return-time", member(&trace::return_seconds)},
        {"service", read_service},
        {"traffic", read_traffic},
        {"at", read_event},
        {"expect", read_expectation},
    };
    return table;
}

} // namespace

bool trace::surges_at(double at_seconds) const {
    return std::ranges::any_of(this->events, [&](const traced_event& event) {
        return event.action == traced_action::surge && at_seconds >= event.at_seconds &&
               at_seconds < event.at_seconds + event.seconds;
    });
}

std::optional<trace> read_trace(const std::string& file, std::string& fault) {
    std::ifstream input(file);
    if (!input) {
        fault = "cannot open " + file;
        return std::nullopt;
    }
    trace read;
    std::string text;
    while (std::getline(input, text)) {
        std::istringstream line(text.substr(0, text.find('#')));
        std::string word;
        if (!(line >> word))
            continue;
        const auto entry = statements().find(word);
        if (entry != statements().end())
            entry->second(line, read);
        if (entry == statements().end() || line.fail()) {
            fault = text;
            return std::nullopt;
        }
    }
    return read;
}

} // namespace samphirespool::replay
