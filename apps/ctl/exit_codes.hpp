// Exit codes of samphirespoolctl; docs/operations/administration.md states them too.
#pragma once

namespace samphirespool::ctl {

enum exit_code : int {
    success = 0,
    // The router rejected the request, for example for an invalid document or an unknown name.
    rejected = 1,
    // A malformed command line, or a file that cannot be read or written.
    usage = 2,
    // The configuration is not at the version that --if-version names.
    conflict = 3,
    // Nothing was changed: the store is unavailable or the router is not ready.
    not_accepted = 4,
    // The change may be in effect: retry it with the same --request-id.
    outcome_unknown = 5,
    // The request was not sent because there is no connection to the router. Most queries also
    // return this if no response arrives.
    unreachable = 6,
    not_authorized = 7,
    // The mark is in effect on the router but not stored.
    not_durable = 8,
};

} // namespace samphirespool::ctl
