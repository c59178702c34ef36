//! Flaws of scripted nodes.

use std::fmt;

/// Flaw of a scripted node: the rule that it breaks. The variants' comments are help texts of the command
/// line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Flaw {
    /// Nothing.
    None,
    /// Every eighth job has no answer.
    #[value(name = "lost-answer")]
    LosesResponse,
    /// Every eighth job is served with something that no worker made.
    #[value(name = "forged-result")]
    ForgesResult,
    /// Every eighth job goes to two workers at once.
    #[value(name = "two-at-once")]
    SendsTwice,
    /// What was lost goes out again, whatever its class.
    #[value(name = "run-again")]
    RepeatsUnsafely,
    /// What may have run is refused.
    #[value(name = "wrong-refusal")]
    RejectsStartedJobs,
    /// Workers that drain are sent work as before.
    #[value(name = "deaf-to-drains")]
    IgnoresWorkerDrains,
    /// All work goes to the worker that started last.
    #[value(name = "rush-to-the-new")]
    OverloadsNewWorkers,
    /// It ends by itself after some jobs.
    #[value(name = "crash")]
    Crashes,
    /// It ignores SIGTERM.
    #[value(name = "deaf-to-the-end")]
    IgnoresSigterm,
    /// After SIGTERM it ends at once, with the jobs that it has.
    #[value(name = "drops-its-jobs")]
    DropsJobsOnSigterm,
    /// After SIGTERM it accepts nothing more, and what is in its queue is reset.
    #[value(name = "resets-its-queue")]
    ResetsAcceptQueue,
    /// As the newer process it never says that it is ready.
    NeverReady,
    /// It says that it is ready while it is drained.
    #[value(name = "yes-while-drained")]
    ReadyWhileDrained,
    /// Clients' connections stay while it is drained.
    #[value(name = "holds-connections")]
    KeepsConnections,
    /// It stays drained.
    StaysDrained,
    /// Workers that are called out are sent work as before.
    #[value(name = "forgets-bans")]
    ForgetsDisabledWorkers,
    /// Workers that are called back are never used again.
    #[value(name = "never-back")]
    NeverEnablesWorkers,
    /// Workers that were never listed are called out like others.
    #[value(name = "yes-to-any-id")]
    AcceptsUnknownWorkers,
    /// Operators wait for their answers.
    #[value(name = "late-on-console")]
    AnswersCommandsLate,
}

impl fmt::Display for Flaw {
    /// Writes the flaw's name on the command line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = clap::ValueEnum::to_possible_value(self);
        f.write_str(value.as_ref().map_or("none", |value| value.get_name()))
    }
}
