#include "coordination/token_lending.h"

#include <algorithm>
#include <bit>
#include <optional>

#include "coordination/budget_shares.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! A report is used for this time. Peers report several times a second.
constexpr Millis kReportLifetime{1000};

//! A peer of the same region answers within a few milliseconds, or after a
//! wake-up on a slow machine.
constexpr Millis kRequestTimeout{40};

//! Largest number of peers that are asked at the same time.
constexpr size_t kMaxPeersAsked = 4;

//! A loan is repeated after the first of these intervals, which doubles up to
//! the second, for kRepeatTime. The tokens of a loan without a receipt may have
//! been spent and stay counted as lent.
constexpr Millis kMinRepeatInterval{60};
constexpr Millis kMaxRepeatInterval{2000};
constexpr Millis kRepeatTime{20000};

//! Fewer tokens are not worth a report: no request is that small.
constexpr int64_t kMinHintTokens = 64;
constexpr size_t kMaxHints = 64;

uint32_t HintKey(const std::string& organisation) {
  return static_cast<uint32_t>(StableHash(organisation));
}

}  // namespace

TokenLending::TokenLending(Identity self, BudgetShares* shares)
    : self_(std::move(self)), shares_(shares), random_(self_.incarnation) {}

// --- Reports ---------------------------------------------------------------

void TokenLending::OnReport(Millis now, const std::string& name, Peer peer) {
  peers_[name] = {std::move(peer), now};
}

std::vector<LendableHint> TokenLending::MakeHints(Millis now) const {
  std::vector<LendableHint> hints;
  for (const auto& [organisation, tokens] : shares_->Lendable(now)) {
    if (tokens >= kMinHintTokens) {
      hints.push_back({HintKey(organisation),
                       static_cast<uint8_t>(
                           std::bit_width(static_cast<uint64_t>(tokens)) - 1)});
    }
  }
  if (hints.size() > kMaxHints) {
    std::nth_element(hints.begin(), hints.begin() + kMaxHints, hints.end(),
                     [](const LendableHint& a, const LendableHint& b) {
                       return a.log2_tokens > b.log2_tokens;
                     });
    hints.resize(kMaxHints);
  }
  return hints;
}

void TokenLending::ForgetHint(const std::string& peer,
                              const std::string& organisation) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) {
    std::erase_if(it->second.peer.lendable, [&](const LendableHint& hint) {
      return hint.organisation == HintKey(organisation);
    });
  }
}

// --- Borrowing -------------------------------------------------------------

void TokenLending::AddDemand(const std::string& organisation, int64_t tokens) {
  demand_[organisation] += tokens;
}

void TokenLending::RemoveDemand(const std::string& organisation,
                                int64_t tokens) {
  int64_t& demand = demand_[organisation];
  demand -= tokens;
  if (demand <= 0) {
    demand_.erase(organisation);
  }
}

std::vector<TokenLending::Candidate> TokenLending::Candidates(
    Millis now,
    const std::string& organisation) {
  std::erase_if(peers_, [&](const auto& it) {
    return now - it.second.reported_at > kReportLifetime;
  });
  const uint32_t key = HintKey(organisation);
  std::vector<Candidate> candidates;
  for (const auto& [name, known] : peers_) {
    for (const LendableHint& hint : known.peer.lendable) {
      if (hint.organisation == key) {
        candidates.push_back({name, hint.tokens(), known.peer.is_local});
      }
    }
  }
  return candidates;
}

std::vector<TokenLending::Candidate> TokenLending::ChoosePeers(
    std::vector<Candidate> candidates,
    int64_t tokens) {
  // Instances that lack tokens at the same time choose different peers among
  // those that have enough, the nearest ones first.
  std::shuffle(candidates.begin(), candidates.end(), random_);
  const auto rank = [tokens](const Candidate& it) {
    return std::make_pair(it.tokens >= tokens ? 0 : 1, it.is_local ? 0 : 1);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const Candidate& a, const Candidate& b) {
                     const auto rank_a = rank(a);
                     const auto rank_b = rank(b);
                     if (rank_a != rank_b || rank_a.first == 0) {
                       return rank_a < rank_b;
                     }
                     return a.tokens > b.tokens;
                   });
  std::vector<Candidate> chosen;
  int64_t sum = 0;
  for (const Candidate& it : candidates) {
    if (sum >= tokens || chosen.size() == kMaxPeersAsked) {
      break;
    }
    chosen.push_back(it);
    sum += it.tokens;
  }
  return chosen;
}

bool TokenLending::HasOpenRequest(const std::string& organisation) const {
  return std::any_of(
      open_requests_.begin(), open_requests_.end(),
      [&](const auto& it) { return it.second.organisation == organisation; });
}

bool TokenLending::Borrow(Millis now, const std::string& organisation) {
  if (HasOpenRequest(organisation)) {
    return true;
  }
  const auto demand = demand_.find(organisation);
  if (demand == demand_.end()) {
    return false;
  }
  const int64_t lacking =
      demand->second - shares_->GetView(now, organisation).available;
  int64_t rest = lacking;
  for (const Candidate& it :
       ChoosePeers(Candidates(now, organisation), lacking)) {
    if (rest <= 0) {
      break;
    }
    // Hints are rounded down, so the last peer asked may have the rest.
    SendRequest(now, organisation, it.name, rest);
    rest -= it.tokens;
  }
  return HasOpenRequest(organisation);
}

void TokenLending::SendRequest(Millis now,
                               const std::string& organisation,
                               const std::string& peer,
                               int64_t tokens) {
  const uint64_t number = next_request_++;
  open_requests_[number] = {organisation, peer, tokens, now + kRequestTimeout};
  outgoing_.push_back(
      {peers_.at(peer).peer.address,
       TokenRequest{self_.instance, self_.incarnation, self_.address, number,
                    organisation, tokens}});
  ++counters_.requests_sent;
}

bool TokenLending::Take(const TokenLoan& loan) {
  TakenLoans& taken = taken_[loan.lender_incarnation];
  if (loan.number < taken.floor || !taken.numbers.insert(loan.number).second) {
    return false;
  }
  taken.floor = std::max(taken.floor, loan.oldest_open);
  taken.numbers.erase(taken.numbers.begin(),
                      taken.numbers.lower_bound(taken.floor));
  return true;
}

TokenLending::LoanResult TokenLending::OnLoan(Millis now,
                                              const TokenLoan& loan) {
  LoanResult result;
  if (loan.borrower_incarnation != self_.incarnation) {
    // Sent to a predecessor at this address.
    return result;
  }
  if (loan.number > 0) {
    outgoing_.push_back(
        {loan.address, LoanReceipt{loan.lender_incarnation, loan.number}});
    if (Take(loan)) {
      result.added =
          shares_->AddLoan(now, loan.organisation, loan.tokens, loan.prepaid);
      result.refused = !result.added;
    } else {
      result.repeated = true;
    }
  }
  const auto request = open_requests_.find(loan.request);
  if (request != open_requests_.end()) {
    if (loan.tokens < request->second.tokens) {
      ForgetHint(request->second.peer, loan.organisation);
    }
    open_requests_.erase(request);
    result.answered = !HasOpenRequest(loan.organisation);
  }
  return result;
}

// --- Lending ---------------------------------------------------------------

int64_t TokenLending::OnRequest(Millis now, const TokenRequest& request) {
  uint64_t& answered = answered_requests_[request.borrower_incarnation];
  if (request.number <= answered) {
    return 0;
  }
  answered = request.number;
  // While own requests wait, only a request that can be met in full is served:
  // two instances that lack tokens would otherwise exchange what both have.
  const bool may_lend =
      !demand_.contains(request.organisation) ||
      shares_->GetView(now, request.organisation).available >= request.tokens;
  const int64_t tokens =
      may_lend ? shares_->Lend(now, request.organisation, request.tokens) : 0;
  SendLoan(now, request.address, request.borrower_incarnation, request.number,
           request.organisation, tokens);
  return tokens;
}

void TokenLending::SendLoan(Millis now,
                            const std::string& address,
                            uint64_t borrower_incarnation,
                            uint64_t request,
                            const std::string& organisation,
                            int64_t tokens) {
  TokenLoan loan;
  loan.lender = self_.instance;
  loan.lender_incarnation = self_.incarnation;
  loan.address = self_.address;
  loan.borrower_incarnation = borrower_incarnation;
  loan.request = request;
  loan.organisation = organisation;
  loan.tokens = tokens;
  if (tokens > 0) {
    loan.number = next_loan_++;
    loan.prepaid = shares_->Prepaid(organisation).value_or(0);
    loans_[loan.number] = {loan, address, now + kMinRepeatInterval,
                           kMinRepeatInterval, now + kRepeatTime};
    loan.oldest_open = loans_.begin()->first;
  }
  outgoing_.push_back({address, std::move(loan)});
}

void TokenLending::OnReceipt(const LoanReceipt& receipt) {
  if (receipt.lender_incarnation == self_.incarnation) {
    loans_.erase(receipt.number);
  }
}

int64_t TokenLending::HandOver(Millis now, bool whole_share) {
  std::vector<const KnownPeer*> receivers;
  for (const bool is_local : {true, false}) {
    for (const auto& [name, known] : peers_) {
      if (receivers.empty() && now - known.reported_at <= kReportLifetime &&
          known.peer.is_local == is_local) {
        receivers.push_back(&known);
      }
    }
  }
  if (receivers.empty()) {
    return 0;
  }
  const Peer& receiver = receivers.front()->peer;
  int64_t sum = 0;
  for (const auto& [organisation, tokens] :
       whole_share ? shares_->Lendable(now) : shares_->UnusedLoans()) {
    const int64_t lent = shares_->Lend(now, organisation, tokens);
    if (lent > 0) {
      SendLoan(now, receiver.address, receiver.incarnation, 0, organisation,
               lent);
      sum += lent;
    }
  }
  return sum;
}

// --- Time ------------------------------------------------------------------

std::vector<std::string> TokenLending::OnTick(Millis now) {
  std::vector<std::string> ended;
  for (auto it = open_requests_.begin(); it != open_requests_.end();) {
    if (now < it->second.expires_at) {
      ++it;
      continue;
    }
    ++counters_.requests_timed_out;
    const std::string organisation = it->second.organisation;
    ForgetHint(it->second.peer, organisation);
    it = open_requests_.erase(it);
    if (!HasOpenRequest(organisation)) {
      ended.push_back(organisation);
    }
  }
  counters_.loans_unconfirmed += static_cast<int64_t>(std::erase_if(
      loans_, [&](const auto& it) { return now >= it.second.expires_at; }));
  for (auto& [number, open] : loans_) {
    if (now >= open.repeat_at) {
      open.repeat_interval =
          std::min(open.repeat_interval * 2, kMaxRepeatInterval);
      open.repeat_at = now + open.repeat_interval;
      open.loan.oldest_open = loans_.begin()->first;
      outgoing_.push_back({open.borrower_address, open.loan});
      ++counters_.loans_repeated;
    }
  }
  return ended;
}

std::vector<TokenLending::Outgoing> TokenLending::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

}  // namespace tamaracktrail
