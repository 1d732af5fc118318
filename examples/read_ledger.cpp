#include <iostream>

#include "state/batch.h"
#include "state/batch_codec.h"
#include "state/ledger_fold.h"
#include "state/stream_view.h"

//! Folds a ledger stream of one batch and a repeated append of it, as a reader
//! of the log does, and prints the balance of one organisation.
int main() {
  using tamaracktrail::Batch;
  using tamaracktrail::BatchCodec;
  using tamaracktrail::Charge;
  using tamaracktrail::Draw;
  using tamaracktrail::LedgerFold;
  using tamaracktrail::Millis;
  using tamaracktrail::StreamView;
  using tamaracktrail::TopUp;

  constexpr uint64_t kHolder = 7;
  const BatchCodec codec("the fleet's shared key");
  StreamView<LedgerFold> view(&codec, LedgerFold(tamaracktrail::kHour));

  Charge charge;
  charge.organisation = "cedar-school";
  charge.key = "draft-1";
  charge.holder = kHolder;
  charge.attempt = 1;
  charge.tokens = 424;
  const Batch batch{kHolder,
                    1,
                    "",
                    Millis(1700000000000),
                    {TopUp{"cedar-school", "invoice-1", 1000, "office"},
                     Draw{"cedar-school", kHolder, 600}, charge}};
  const std::string payload = codec.Encode(batch);
  view.Feed({1, payload});
  view.Feed({2, payload});  // A repeated append has no effect.

  const tamaracktrail::Budget& budget = view.fold().BudgetOf("cedar-school");
  std::cout << "prepaid=" << budget.prepaid << " charged=" << budget.charged
            << " undrawn=" << budget.undrawn
            << " share=" << budget.Share(kHolder) << "\n";
  return budget.charged == charge.tokens ? 0 : 1;
}
