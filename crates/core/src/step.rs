//! In-order execution of the positions of a request at a stage, each at most once.
//!
//! A stage keeps one [`StepGate`] for each request. Steps may arrive repeatedly or late, or overlap
//! positions that have run (a replay after a neighbouring stage was replaced). The gate admits only
//! positions that have not run, and only if no earlier position is missing. Constant memory,
//! constant time.

/// Header of an arriving step: all that a gate needs to decide on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepHeader {
    /// Attempt of the request to which the sender assigned the step.
    pub attempt: u32,
    /// First layer to run on the step's activations.
    pub layer: u32,
    /// First position of the step.
    pub first_position: u32,
    /// Number of positions; a valid step has at least 1.
    pub len: u32,
    /// Number of further stages that may respond with their last output if the step is a
    /// repetition.
    pub resend: u32,
}

/// Reason to drop a step silently. The request continues without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// The step belongs to an earlier attempt, which was abandoned.
    StaleAttempt,
    /// All positions of the step have run or are running.
    Repeated,
    /// The step has no positions.
    Empty,
}

/// Reason to refuse a step and report it to the sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepRefusal {
    /// The step is for a layer other than the first layer of this stage.
    WrongLayer,
    /// Positions before the step's first one have not run at this stage.
    Gap {
        /// Next position to run.
        expected: u32,
    },
}

/// Decision on a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepDecision {
    /// Run the step without its first `skip` positions, which have run.
    Run {
        /// Number of positions to skip.
        skip: u32,
    },
    /// All positions have run and the sender asks for the output again. Send the last output, which
    /// may be that of a later step.
    ResendOutput,
    /// Ignore the step.
    Drop(DropReason),
    /// Refuse the step and report the reason to the sender.
    Refuse(StepRefusal),
}

/// State of one request at one stage, which decides on each arriving step.
#[derive(Clone, Debug)]
pub struct StepGate {
    first_layer: u32,
    attempt: u32,
    next_position: u32,
    running: u32,
}

impl StepGate {
    /// Creates a gate at position 0 of an attempt, for a stage whose range starts at `first_layer`.
    pub fn new(first_layer: u32, attempt: u32) -> Self {
        Self { first_layer, attempt, next_position: 0, running: 0 }
    }

    /// Returns the current attempt. Steps of earlier attempts are dropped.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the next position to run: all positions before it have run or are running.
    pub fn next_position(&self) -> u32 {
        self.next_position
    }

    /// Raises the current attempt to `attempt`; a lower or equal one has no effect. Returns whether
    /// the attempt was raised.
    pub fn raise_attempt(&mut self, attempt: u32) -> bool {
        let is_higher = attempt > self.attempt;
        if is_higher {
            self.attempt = attempt;
        }
        is_higher
    }

    /// Decides on a step. If it is to run, its positions count as running from now on.
    pub fn decide(&mut self, step: &StepHeader) -> StepDecision {
        if step.attempt < self.attempt {
            return StepDecision::Drop(DropReason::StaleAttempt);
        }
        if step.layer != self.first_layer {
            return StepDecision::Refuse(StepRefusal::WrongLayer);
        }
        if step.len == 0 {
            return StepDecision::Drop(DropReason::Empty);
        }
        if step.first_position > self.next_position {
            let expected = self.next_position;
            return StepDecision::Refuse(StepRefusal::Gap { expected });
        }
        self.attempt = step.attempt;
        let end = step.first_position.saturating_add(step.len);
        if end > self.next_position {
            let skip = self.next_position - step.first_position;
            self.next_position = end;
            self.running += 1;
            return StepDecision::Run { skip };
        }
        if self.running == 0 && step.resend > 0 {
            return StepDecision::ResendOutput;
        }
        StepDecision::Drop(DropReason::Repeated)
    }

    /// Records that a step which was decided to run has finished.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
