#ifndef COORDINATION_CHARGE_CUSTODY_H_
#define COORDINATION_CHARGE_CUSTODY_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "coordination/outbox.h"
#include "protocol/settle_request.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Charges this instance answers for until the log has them: its own, whose
//! answers it may only end once another instance or the log holds the charge
//! too, and those that peers handed over. Not thread-safe.
class ChargeCustody {
 public:
  struct Options {
    Millis widen_after{400};       //!< Then other peers and the log are asked.
    Millis give_up_after{4000};    //!< Then the answer is withheld.
    Millis replicate_after{1000};  //!< Unconfirmed charges go to more peers.
    size_t copies = 4;             //!< Peers that one charge is handed to.
    Millis append_after{5000};  //!< Unconfirmed charges are appended here too,
                                //!< where neither entry nor holder is heard.
    Millis append_anyway_after{60000};  //!< And where they are.
  };

  enum class Safety { kSafe, kNotSafe };

  //! Result for one of this instance's own charges.
  struct Settled {
    uint64_t attempt = 0;
    Safety safety = Safety::kNotSafe;
  };

  ChargeCustody(uint64_t self, Options options);

  //! Takes this instance's own charge and sends it to its holder, or to one of
  //! the peers where the holder is not in `peers`.
  //! Precondition: charge.entry is this instance.
  void Settle(Millis now,
              const SettleRequest& request,
              std::span<const uint64_t> peers,
              Outbox& outbox);

  //! Takes a peer's charge into custody and answers with SettleReply, unless
  //! this instance is the holder: then its keeper answers and appends.
  void Hold(Millis now, const SettleRequest& request, Outbox& outbox);

  //! The answer was not delivered whole after all: voids the charge wherever
  //! it is. The peers append the void too, so that it outlives this process.
  //! Precondition: charge.entry is this instance.
  void Withdraw(const Charge& charge,
                std::span<const uint64_t> peers,
                Outbox& outbox);

  //! Another instance holds the charge.
  void OnHeldElsewhere(uint64_t attempt);

  //! The log has taken the charge, or has voided it.
  void OnConfirmed(uint64_t attempt, Outbox& outbox);

  //! Repeats, widens, appends and gives up. Precondition: `peers` excludes this
  //! instance.
  void OnTick(Millis now, std::span<const uint64_t> peers, Outbox& outbox);

  //! Own charges that became safe or not safe since the last call. A charge
  //! that is not safe gets a Void record from this class.
  std::vector<Settled> TakeSettled();

  //! Unconfirmed charges under the share of `holder`.
  std::vector<KeptShare> HeldFor(uint64_t holder) const;

  //! Charges of an exited entry, so that their holders learn of them before
  //! they free anything.
  std::vector<SettleRequest> ChargesOf(uint64_t entry) const;

  bool Holds(uint64_t attempt) const { return held_.contains(attempt); }
  size_t size() const { return held_.size(); }

 private:
  struct Held {
    SettleRequest request;
    Millis since;
    Millis sent_at;
    bool own = false;
    bool safe = false;
    bool appended = false;
    std::set<uint64_t> asked;  //!< Peers that may hold it for this instance.
  };

  static void AppendVoid(const Charge& charge,
                         std::span<const uint64_t> peers,
                         Outbox& outbox);
  void MarkSafe(uint64_t attempt, Held& held);
  void Replicate(Held& held, std::span<const uint64_t> peers, Outbox& outbox);
  void Append(Held& held, Outbox& outbox);

  uint64_t self_;
  Options options_;
  std::map<uint64_t, Held> held_;  //!< By attempt.
  std::vector<Settled> settled_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CHARGE_CUSTODY_H_
