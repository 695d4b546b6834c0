// Cost of single placement decisions, and how many chats the loss of a target moves, at the design
// size of the fleet.
#pragma once

namespace samphirespool::bench {

// Prints the time of a decision over 4,300 targets and the chats moved per engine lost.
void print_decision_cost();

} // namespace samphirespool::bench
