#ifndef STATE_FOLD_VERDICT_H_
#define STATE_FOLD_VERDICT_H_

namespace tamaracktrail {

//! Result of applying one record to a fold.
enum class FoldVerdict {
  kAccepted,
  //! Already applied, or nothing to apply it to: no effect now. A second charge
  //! of a key is kept as a fallback; an abandon voids a later claim of its
  //! attempt.
  kRepeat,
  kExceedsShare,  //!< A charge or return above the holder's share, or a load
                  //!< order above the fleet's rate: void.
  //! The holder was released, or the charge's entry is fenced under the
  //! holder's share: void.
  kHolderExited,
  //! An earlier record took precedence: another claim, trial, configuration,
  //! term or draw, the end of the trial, or the abandon or void of the same
  //! attempt. Void.
  kLostRace,
  kNotApplicable,  //!< A record for the other kind of stream, or malformed.
};

//! Returns the snake-case name of a verdict for logs and audits.
const char* FoldVerdictName(FoldVerdict verdict);

}  // namespace tamaracktrail

#endif  // STATE_FOLD_VERDICT_H_
