#ifndef STATE_FOLD_VERDICT_H_
#define STATE_FOLD_VERDICT_H_

namespace tamaracktrail {

//! Result of applying one record to a fold.
enum class FoldVerdict {
  kAccepted,
  kRepeat,         //!< Same id or key as an earlier record: no effect.
  kExceedsShare,   //!< A charge or return above the holder's share, or a load
                   //!< order above the fleet's rate: void.
  kHolderExited,   //!< The holder was released or the entry fenced: void.
  kLostRace,       //!< Overtaken by a conflicting record (claim, abandon,
                   //!< trial, base, term, draw or void): void.
  kNotApplicable,  //!< A record for the other kind of stream, or malformed.
};

//! Returns the snake-case name of a verdict for logs and audits.
const char* FoldVerdictName(FoldVerdict verdict);

}  // namespace tamaracktrail

#endif  // STATE_FOLD_VERDICT_H_
