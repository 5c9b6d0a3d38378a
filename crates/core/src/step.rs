//! The rule by which a stage runs each position of a request once, in order.
//!
//! A stage keeps one [`StepGate`] for each request. Steps may be repeated, late, or overlap what has
//! run (a replay after a neighbour was replaced): the gate lets through only positions that have not
//! run, and only where none is missing before them. Constant memory, constant time.

/// What a gate needs to know of an arriving step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepHeader {
    /// Attempt that the sender knows of.
    pub attempt: u32,
    /// Layer that the step's activations enter.
    pub layer: u32,
    /// First position that the step carries.
    pub first_position: u32,
    /// Count of positions, at least 1.
    pub len: u32,
    /// How many further stages may answer from their last output.
    pub resend: u32,
}

/// Why a step was dropped. The request goes on without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It belongs to an attempt that was given up.
    StaleAttempt,
    /// All of its positions have run, or are running now.
    Repeated,
    /// It carries no position.
    Empty,
}

/// Why a step was refused. The sender has to be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepRefusal {
    /// The step enters a layer at which this stage does not start.
    WrongLayer,
    /// Positions before the step's first one have not run here.
    Gap {
        /// Position that is expected next.
        expected: u32,
    },
}

/// What to do with a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepDecision {
    /// Run it, leaving out the first `skip` positions, which have run.
    Run {
        /// Count of positions to leave out.
        skip: u32,
    },
    /// All of it has run, and the sender asks for the output again: answer it from the last output,
    /// which may be a later step's.
    ResendOutput,
    /// Ignore it.
    Drop(DropReason),
    /// Refuse it.
    Refuse(StepRefusal),
}

/// Order of the steps of one request at one stage.
#[derive(Clone, Debug)]
pub struct StepGate {
    first_layer: u32,
    attempt: u32,
    next_position: u32,
    running: u32,
}

impl StepGate {
    /// Starts at position 0 of an attempt, for a stage whose range starts at `first_layer`.
    pub fn new(first_layer: u32, attempt: u32) -> Self {
        Self { first_layer, attempt, next_position: 0, running: 0 }
    }

    /// Attempt that is in force.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Position that is expected next: all before it have run or are running.
    pub fn next_position(&self) -> u32 {
        self.next_position
    }

    /// Raises the attempt in force; a lower one changes nothing. Returns whether it rose.
    pub fn raise_attempt(&mut self, attempt: u32) -> bool {
        let rises = attempt > self.attempt;
        if rises {
            self.attempt = attempt;
        }
        rises
    }

    /// Decides on a step, and takes its positions as running where it may run.
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

    /// Notes that a step which was let through has run.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
