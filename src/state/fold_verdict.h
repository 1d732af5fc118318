#ifndef STATE_FOLD_VERDICT_H_
#define STATE_FOLD_VERDICT_H_

namespace tamaracktrail {

//! What a fold made of one record.
enum class FoldVerdict {
  kAccepted,
  kRepeat,         //!< Same id or key as an earlier record: no effect.
  kExceedsShare,   //!< A charge or return above the holder's share: void.
  kHolderExited,   //!< The holder has been released: void.
  kLostRace,       //!< Another claim, trial or base came first: void.
  kNotApplicable,  //!< A record of the other kind of stream, or malformed.
};

//! Name for logs and audits, in snake case.
const char* FoldVerdictName(FoldVerdict verdict);

}  // namespace tamaracktrail

#endif  // STATE_FOLD_VERDICT_H_
