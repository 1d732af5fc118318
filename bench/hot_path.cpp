#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "coordination/endpoint_choice.h"
#include "coordination/endpoint_table.h"
#include "coordination/escrow_policy.h"
#include "coordination/keeper.h"
#include "protocol/frame_codec.h"
#include "state/batch.h"
#include "state/batch_codec.h"
#include "state/ledger_fold.h"

namespace tamaracktrail {
namespace {

Charge MakeCharge(uint64_t n) {
  Charge charge;
  charge.organisation = "org" + std::to_string(n % 100);
  charge.key = "018bcfe5-6800-7000-8000-" + std::to_string(100000000000 + n);
  charge.holder = 7;
  charge.entry = 9;
  charge.attempt = n + 1;
  charge.service = "assistant";
  charge.endpoint = "engine-a1";
  charge.tokens = 300;
  return charge;
}

void ChooseEndpoint(benchmark::State& state) {
  EndpointTable table("dc", {});
  std::vector<EndpointSpec> specs;
  for (int i = 0; i < state.range(0); ++i) {
    specs.push_back({"e" + std::to_string(i), "", "s", "dc", 16, true});
  }
  table.SetSpecs(specs);
  for (const EndpointSpec& spec : specs) {
    table.Observe({spec.name, EndpointHealth::kUp, 3, "", {}, Millis(1000)});
  }
  Random random(1);
  const AffinityChoice choice;
  for (auto _ : state) {
    const auto candidates = table.Candidates(Millis(1100), "s");
    benchmark::DoNotOptimize(choice.Pick(candidates, "prefix", random));
  }
}
BENCHMARK(ChooseEndpoint)->Arg(20)->Arg(55)->Arg(110)->Arg(220);

void FoldCharge(benchmark::State& state) {
  LedgerFold fold(kHour);
  const FoldContext context{1, 7, Millis(1)};
  for (int i = 0; i < 100; ++i) {
    const std::string name = "org" + std::to_string(i);
    fold.Apply(TopUp{name, "t", 1LL << 50, ""}, context);
    fold.Apply(Draw{name, 7, 1LL << 50}, context);
  }
  uint64_t n = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const Record record = MakeCharge(n++);
    state.ResumeTiming();
    benchmark::DoNotOptimize(fold.Apply(record, context));
  }
}
BENCHMARK(FoldCharge)->Iterations(200000);

void ReserveAndSettle(benchmark::State& state) {
  LedgerFold fold(kHour);
  const FoldContext context{1, 7, Millis(1)};
  fold.Apply(TopUp{"org", "t", 1LL << 50, ""}, context);
  fold.Apply(Draw{"org", 7, 1LL << 50}, context);
  Keeper<EscrowPolicy> keeper(7, EscrowPolicy(0.5, kMinute), {}, &fold);
  uint64_t n = 0;
  for (auto _ : state) {
    Outbox outbox;
    Charge charge = MakeCharge(n++);
    charge.organisation = "org";
    keeper.OnReserve(
        Millis(1), Millis(1),
        ReserveRequest{"org", charge.key, "s", charge.attempt, 9, 500, false},
        outbox);
    keeper.OnSettle(Millis(1), SettleRequest{charge, 500}, outbox);
    AppliedBatch batch{n, {7, n, "", Millis(1), {charge}}, {}};
    batch.verdicts.push_back(fold.Apply(charge, context));
    keeper.OnApplied(Millis(1), batch, outbox);
    benchmark::DoNotOptimize(outbox);
  }
}
BENCHMARK(ReserveAndSettle)->Iterations(200000);

void BatchRoundTrip(benchmark::State& state) {
  const BatchCodec codec("a key for tests");
  Batch batch{7, 1, std::string(32, 'x'), Millis(1), {}};
  for (int i = 0; i < state.range(0); ++i) {
    batch.records.push_back(MakeCharge(static_cast<uint64_t>(i)));
  }
  for (auto _ : state) {
    const std::string payload = codec.Encode(batch);
    benchmark::DoNotOptimize(codec.Decode(payload));
  }
}
BENCHMARK(BatchRoundTrip)->Arg(1)->Arg(10)->Arg(100)->Arg(400);

void FrameRoundTrip(benchmark::State& state) {
  const FrameCodec codec("a key for tests");
  const ReserveRequest request{"org", "key", "s", 1, 2, 300, false};
  for (auto _ : state) {
    const std::string frame = codec.Encode(request);
    benchmark::DoNotOptimize(codec.Decode(frame));
  }
}
BENCHMARK(FrameRoundTrip);

}  // namespace
}  // namespace tamaracktrail

BENCHMARK_MAIN();
