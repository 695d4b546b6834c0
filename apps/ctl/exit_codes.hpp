// Exit codes of samphirespoolctl; docs/operations/administration.md states them too.
#pragma once

namespace samphirespool::ctl {

enum exit_code : int {
    success = 0,
    // The router refused: a fault in a document, an unknown name.
    refused = 1,
    usage = 2,
    // The configuration is not at the version that --if-version names.
    conflict = 3,
    // Nothing was changed: the store refused or the router is not ready.
    not_accepted = 4,
    // The change may be in force: repeat it with the same --request-id.
    outcome_unknown = 5,
    unreachable = 6,
    not_authorized = 7,
    // The mark is obeyed but not stored.
    not_durable = 8,
};

} // namespace samphirespool::ctl
