#ifndef STATE_RECORD_H_
#define STATE_RECORD_H_

#include <variant>

#include "state/abandon.h"
#include "state/charge.h"
#include "state/configuration.h"
#include "state/control_snapshot.h"
#include "state/crash.h"
#include "state/draw.h"
#include "state/exit.h"
#include "state/fence.h"
#include "state/join.h"
#include "state/ledger_snapshot.h"
#include "state/order.h"
#include "state/outcome.h"
#include "state/refusal.h"
#include "state/release.h"
#include "state/return.h"
#include "state/run.h"
#include "state/run_claim.h"
#include "state/share_request.h"
#include "state/term.h"
#include "state/top_up.h"
#include "state/trial.h"
#include "state/trial_end.h"
#include "state/void.h"

namespace tamaracktrail {

//! One record of a log stream. The order of the alternatives is part of the
//! stored format, so new ones have to be added at the end.
using Record = std::variant<TopUp,
                            Draw,
                            Return,
                            ShareRequest,
                            Charge,
                            RunClaim,
                            Abandon,
                            Outcome,
                            Run,
                            Refusal,
                            Release,
                            LedgerSnapshot,
                            Configuration,
                            Join,
                            Exit,
                            Crash,
                            Trial,
                            Term,
                            Order,
                            ControlSnapshot,
                            Void,
                            TrialEnd,
                            Fence>;

}  // namespace tamaracktrail

#endif  // STATE_RECORD_H_
