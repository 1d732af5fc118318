#include "transport/token_exchange.h"

#include <utility>
#include <variant>

#include "coordination/token_lending.h"
#include "transport/log_line.h"
#include "transport/metrics.h"
#include "transport/relay/relay_context.h"
#include "transport/relay/share_event.h"

namespace tamaracktrail {

TokenExchange::TokenExchange(EventLoop* loop,
                             EventLog* log,
                             Metrics* metrics,
                             RelayContext* context,
                             Send send)
    : loop_(loop),
      log_(log),
      metrics_(metrics),
      context_(context),
      send_(std::move(send)) {}

TokenExchange::~TokenExchange() {
  loop_->Cancel(&timer_);
}

void TokenExchange::OnMessage(const LendingMessage& message) {
  if (const auto* request = std::get_if<TokenRequest>(&message)) {
    OnRequest(*request);
  } else if (const auto* loan = std::get_if<TokenLoan>(&message)) {
    OnLoan(*loan);
  } else {
    context_->lending.OnReceipt(std::get<LoanReceipt>(message));
  }
  Flush();
}

void TokenExchange::OnRequest(const TokenRequest& request) {
  const Millis now = loop_->Now();
  const int64_t lent = context_->lending.OnRequest(now, request);
  const BudgetShares::View view =
      context_->shares.GetView(now, request.organisation);
  LogLine(log_, "tokens_lent")
      .Add("borrower", request.borrower)
      .Add("request", request.number)
      .Add("organisation", request.organisation)
      .Add("asked", request.tokens)
      .Add("lent", lent)
      .Add("available", view.available)
      .Add("log_age_ms", view.log_age);
  metrics_->Count("tokens_lent_total", lent);
}

void TokenExchange::OnLoan(const TokenLoan& loan) {
  const Millis now = loop_->Now();
  const TokenLending::LoanResult result = context_->lending.OnLoan(now, loan);
  LogLine(log_, "tokens_borrowed")
      .Add("lender", loan.lender)
      .Add("request", loan.request)
      .Add("loan", loan.number)
      .Add("organisation", loan.organisation)
      .Add("tokens", loan.tokens)
      .Add("added", result.added)
      .Add("repeated", result.repeated)
      .Add("total_is_lower", result.refused)
      .Add("available",
           context_->shares.GetView(now, loan.organisation).available);
  if (result.added) {
    metrics_->Count("tokens_borrowed_total", loan.tokens);
    context_->OnSharesChanged(ShareEvent::kLoan);
  } else if (result.answered) {
    context_->OnSharesChanged(ShareEvent::kBorrowEnded);
  }
}

void TokenExchange::Flush() {
  for (const TokenLending::Outgoing& it : context_->lending.TakeOutgoing()) {
    if (const auto* request = std::get_if<TokenRequest>(&it.message)) {
      LogLine(log_, "tokens_requested")
          .Add("lender", it.address)
          .Add("request", request->number)
          .Add("organisation", request->organisation)
          .Add("tokens", request->tokens);
    }
    send_(it.address, it.message);
  }
  if (timer_ == EventLoop::TimerId{} && context_->lending.needs_ticks()) {
    timer_ = loop_->After(TokenLending::kTickInterval, [this] {
      timer_ = {};
      OnTick();
    });
  }
}

void TokenExchange::OnTick() {
  if (!context_->lending.OnTick(loop_->Now()).empty()) {
    context_->OnSharesChanged(ShareEvent::kBorrowEnded);
  }
  Flush();
  UpdateMetrics();
}

void TokenExchange::HandOver(bool whole_share) {
  const int64_t tokens = context_->lending.HandOver(loop_->Now(), whole_share);
  if (tokens > 0) {
    LogLine(log_, "tokens_handed_over")
        .Add("tokens", tokens)
        .Add("whole_share", whole_share);
    metrics_->Count("tokens_lent_total", tokens);
  }
  Flush();
}

void TokenExchange::UpdateMetrics() {
  const TokenLending::Counters& it = context_->lending.counters();
  metrics_->Set("token_requests", static_cast<double>(it.requests_sent));
  metrics_->Set("token_requests_timed_out",
                static_cast<double>(it.requests_timed_out));
  metrics_->Set("token_loans_repeated", static_cast<double>(it.loans_repeated));
  metrics_->Set("token_loans_unconfirmed",
                static_cast<double>(it.loans_unconfirmed));
}

}  // namespace tamaracktrail
