#ifndef COORDINATION_TOKEN_LENDING_H_
#define COORDINATION_TOKEN_LENDING_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/lendable_hint.h"
#include "coordination/lending_message.h"
#include "state/millis.h"

namespace tamaracktrail {

class BudgetShares;

//! Moves tokens between instances without the log: an instance whose share is
//! too small for its requests asks peers that have reported unused tokens.
//!
//! Load pattern: all instances lose the log for several seconds. Each of them
//! receives few requests of an organisation, so some need more than they hold
//! while others have tokens that no request comes for.
//!
//! A loan is safe without any agreement: the lender counts it as spent before
//! it sends it and never takes it back; the borrower takes each loan once, by
//! the lender's incarnation and the loan's number, and only if it was sent to
//! this incarnation of it. A loan that is lost is repeated until the borrower
//! confirms it. Not thread-safe.
class TokenLending {
 public:
  struct Identity {
    std::string instance;
    uint64_t incarnation = 0;
    std::string address;  //!< Where messages for this instance are sent.
  };

  //! What a peer said of itself.
  struct Peer {
    std::string address;
    uint64_t incarnation = 0;
    bool is_local = false;  //!< In the data centre of this instance.
    std::vector<LendableHint> lendable;
  };

  struct Outgoing {
    std::string address;
    LendingMessage message;
  };

  //! What happened to a loan, for the log.
  struct LoanResult {
    bool added = false;     //!< The share has grown.
    bool repeated = false;  //!< The loan was known already.
    bool refused = false;   //!< The budget's total is lower here.
    //! The last open request for tokens of the organisation was answered.
    bool answered = false;
  };

  struct Counters {
    int64_t requests_sent = 0;
    int64_t requests_timed_out = 0;
    int64_t loans_repeated = 0;
    int64_t loans_unconfirmed = 0;  //!< Repeated for too long without receipt.
  };

  //! Precondition: `shares` outlives this.
  TokenLending(Identity self, BudgetShares* shares);

  //! Replaces what is known of a peer.
  void OnReport(Millis now, const std::string& name, Peer peer);
  //! What peers should know of this instance; at most 64 organisations.
  std::vector<LendableHint> MakeHints(Millis now) const;

  //! A request that lacks tokens begins or ceases to wait.
  void AddDemand(const std::string& organisation, int64_t tokens);
  void RemoveDemand(const std::string& organisation, int64_t tokens);

  //! Asks peers for what the waiting requests of an organisation lack, unless
  //! they are being asked. Returns whether an answer is to come.
  bool Borrow(Millis now, const std::string& organisation);

  //! Returns the tokens lent.
  int64_t OnRequest(Millis now, const TokenRequest& request);
  LoanResult OnLoan(Millis now, const TokenLoan& loan);
  void OnReceipt(const LoanReceipt& receipt);

  //! Repeats loans without a receipt and ends requests without an answer.
  //! Returns the organisations for which no request is open any more.
  std::vector<std::string> OnTick(Millis now);
  //! Whether OnTick has to be called at kTickInterval.
  bool needs_ticks() const {
    return !open_requests_.empty() || !loans_.empty();
  }
  static constexpr Millis kTickInterval{20};

  //! Gives unused tokens to peers before this instance exits: those of loans,
  //! and with `whole_share` also those that can't be returned to the log.
  //! Returns the tokens given.
  int64_t HandOver(Millis now, bool whole_share);

  //! Returns the messages to send, in order, and forgets them.
  std::vector<Outgoing> TakeOutgoing();

  const Counters& counters() const { return counters_; }

 private:
  struct KnownPeer {
    Peer peer;
    Millis reported_at;
  };
  struct OpenRequest {
    std::string organisation;
    std::string peer;
    int64_t tokens = 0;
    Millis expires_at;
  };
  struct OpenLoan {
    TokenLoan loan;
    std::string borrower_address;
    Millis repeat_at;
    Millis repeat_interval;
    Millis expires_at;
  };
  //! Loans of one lender's incarnation that were taken.
  struct TakenLoans {
    uint64_t floor = 0;  //!< Lower numbers are not taken any more.
    std::set<uint64_t> numbers;
  };
  struct Candidate {
    std::string name;
    int64_t tokens = 0;  //!< What it may have, at least.
    bool is_local = false;
  };

  std::vector<Candidate> Candidates(Millis now,
                                    const std::string& organisation);
  //! Chooses the peers that are asked for `tokens` together.
  std::vector<Candidate> ChoosePeers(std::vector<Candidate> candidates,
                                     int64_t tokens);
  void SendRequest(Millis now,
                   const std::string& organisation,
                   const std::string& peer,
                   int64_t tokens);
  void SendLoan(Millis now,
                const std::string& address,
                uint64_t borrower_incarnation,
                uint64_t request,
                const std::string& organisation,
                int64_t tokens);
  bool HasOpenRequest(const std::string& organisation) const;
  //! The peer has less of an organisation than it reported.
  void ForgetHint(const std::string& peer, const std::string& organisation);
  //! Records that a loan is taken. Returns false if it was taken before or may
  //! have been.
  bool Take(const TokenLoan& loan);

  Identity self_;
  BudgetShares* shares_;
  std::mt19937_64 random_;
  std::map<std::string, KnownPeer> peers_;  //!< By instance name.
  //! Tokens that waiting requests lack, by organisation.
  std::map<std::string, int64_t> demand_;
  uint64_t next_request_ = 1;
  std::map<uint64_t, OpenRequest> open_requests_;  //!< By number.
  uint64_t next_loan_ = 1;
  std::map<uint64_t, OpenLoan> loans_;  //!< Without a receipt, by number.
  //! By the lender's incarnation. Kept for good: a datagram may be late.
  std::map<uint64_t, TakenLoans> taken_;
  //! Highest number of a request that was answered, by borrower's incarnation.
  std::map<uint64_t, uint64_t> answered_requests_;
  std::vector<Outgoing> outgoing_;
  Counters counters_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_TOKEN_LENDING_H_
