// What a gateway exchanges with its peers about rollouts: results of versions on the way to the
// gateway that decides, and its directives on the way back.
#pragma once

#include "exchange/message.hpp"

#include <string>

namespace samphirespool::exchange {

class rollout_channel {
public:
    virtual ~rollout_channel() = default;

    // Results for the upstream gateway: this gateway's own, or those of its group. All of them if
    // the receiver may lack the earlier ones, else those that have changed.
    virtual rollout_row_list rows(bool for_group, bool is_first_to_receiver) = 0;
    // Results of a member of this gateway's group or of another group, each of which replaces the
    // sender's former one.
    virtual void merge_rows(const std::string& sender, bool for_group,
                            const rollout_row_list& received) = 0;
    virtual rollout_directive_list directives() = 0;
    // `delay` is an upper bound of the time that the message was on its way.
    virtual void merge_directives(const rollout_directive_list& received,
                                  helpers::duration delay) = 0;
};

} // namespace samphirespool::exchange
