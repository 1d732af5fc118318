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

//! Charges that this instance keeps until the log has them: its own ones and
//! those that peers handed over. The answer to a request may only be completed
//! once another instance or the log holds its charge too. Not thread-safe.
class ChargeCustody {
 public:
  struct Options {
    //! An own charge that is not safe after this time is sent to all peers and
    //! appended to the log; the sends repeat at this interval.
    Millis broadcast_interval{400};
    //! Age at which an own charge that is not safe is voided and its answer
    //! withheld.
    Millis safety_timeout{4000};
    //! Age from which an unconfirmed charge is sent to further peers.
    Millis replicate_after{1000};
    //! Number of live peers that one charge is sent to.
    size_t target_copies = 4;
    //! Age at which this instance appends an unconfirmed charge itself, if
    //! neither the entry nor the holder is among the peers.
    Millis append_after_unreachable{5000};
    //! The corresponding age if the entry or the holder is among the peers.
    Millis append_after_reachable{60000};
  };

  enum class Safety { kSafe, kNotSafe };

  //! Result of one of this instance's own charges. A charge is safe once
  //! another instance or the log holds it too.
  struct SettleResult {
    uint64_t attempt = 0;
    Safety safety = Safety::kNotSafe;
  };

  ChargeCustody(uint64_t self, Options options);

  //! Takes this instance's own charge into custody and sends it to its holder,
  //! or to the first of the peers if the holder is this instance or not in
  //! `peers`. Precondition: charge.entry is this instance.
  void Settle(Millis now,
              const SettleRequest& request,
              std::span<const uint64_t> peers,
              Outbox& outbox);

  //! Takes a peer's charge into custody and answers with SettleReply. If this
  //! instance is the holder, its keeper answers and appends instead.
  void Hold(Millis now, const SettleRequest& request, Outbox& outbox);

  //! Voids a charge whose answer was not delivered completely, wherever the
  //! charge is held. The peers append the Void record too, so that it is not
  //! lost with this process.
  //! Precondition: charge.entry is this instance.
  void Withdraw(const Charge& charge,
                std::span<const uint64_t> peers,
                Outbox& outbox);

  //! Handles the notification that another instance holds the charge.
  void OnHeldElsewhere(uint64_t attempt);

  //! Handles the confirmation that the log has the charge, or has voided it.
  void OnConfirmed(uint64_t attempt, Outbox& outbox);

  //! Resends charges, sends them to further peers, appends them, and voids own
  //! charges that did not become safe in time. Precondition: `peers` excludes
  //! this instance.
  void OnTick(Millis now, std::span<const uint64_t> peers, Outbox& outbox);

  //! Returns the own charges that became safe, or timed out, since the last
  //! call. This class appends a Void record for each one that timed out.
  std::vector<SettleResult> TakeSettleResults();

  //! Returns the unconfirmed charges under the share of `holder`: own ones with
  //! the reserved tokens, those of peers with the charged tokens.
  std::vector<KeptShare> UnconfirmedUnderShareOf(uint64_t holder) const;

  //! Returns the charges of an exited entry that this instance has in custody.
  //! The holders of their shares have to know them before they end the entry's
  //! reservations.
  std::vector<SettleRequest> ChargesOfEntry(uint64_t entry) const;

  bool Holds(uint64_t attempt) const { return held_.contains(attempt); }
  size_t size() const { return held_.size(); }

 private:
  struct HeldCharge {
    SettleRequest request;
    Millis held_since;
    Millis sent_at;
    bool own = false;
    bool safe = false;
    bool appended = false;
    std::set<uint64_t> sent_to;  //!< Peers that may hold the charge.
  };

  static void AppendVoid(const Charge& charge,
                         std::span<const uint64_t> peers,
                         Outbox& outbox);
  void MarkSafe(uint64_t attempt, HeldCharge& held);
  void Replicate(HeldCharge& held,
                 std::span<const uint64_t> peers,
                 Outbox& outbox);
  void Append(HeldCharge& held, Outbox& outbox);

  uint64_t self_;
  Options options_;
  std::map<uint64_t, HeldCharge> held_;  //!< By attempt.
  std::vector<SettleResult> settled_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CHARGE_CUSTODY_H_
