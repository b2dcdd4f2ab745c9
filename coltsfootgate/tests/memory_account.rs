//! Tests the account of the memory that is held for callers and for other instances.

use bytes::Bytes;
use coltsfootgate::transfer::{HeldBuffer, MemoryAccount, MemoryFull, MemoryPart, MemoryUse};
use proptest::prelude::*;

const LARGE: usize = 4 * 1024 * 1024;
const SMALL: usize = 16 * 1024;

fn answers() -> MemoryPart {
    MemoryAccount::default().part(MemoryUse::Answers).clone()
}

#[test]
fn a_part_is_shared_by_all_answers() {
    let part = answers();
    let mut shares = Vec::new();
    while let Some(share) = part.take(LARGE) {
        shares.push(share);
    }
    assert!((4..32).contains(&shares.len()), "{} large answers fit", shares.len());
    assert!(part.take(LARGE).is_none());
    shares.pop();
    assert!(part.take(LARGE).is_some(), "an answer that ends returns its memory");
}

/// Answers of the usual size are served also if others use up the part.
#[test]
fn small_answers_do_not_draw_on_the_part() {
    let part = answers();
    let mut large: Vec<_> = (0..1_000).map(|_| part.share()).collect();
    while large.iter_mut().any(|share| share.ask(LARGE)) && large.len() > 1 {
        large.truncate(large.len() / 2);
    }
    let mut small: Vec<_> = (0..10_000).map(|_| part.share()).collect();
    assert!(small.iter_mut().all(|share| share.ask(SMALL)));
}

/// What is held for one use leaves nothing to be refused to another, and all together leave room for the process.
#[test]
fn no_use_takes_the_part_of_another() {
    let account = MemoryAccount::new(260);
    let mut shares = Vec::new();
    for purpose in MemoryUse::ALL {
        let part = account.part(purpose);
        assert_eq!(part.held(), 0, "{}", purpose.name());
        while let Some(share) = part.take(LARGE) {
            shares.push(share);
        }
        assert!(part.held() > 0 && part.held() <= part.bytes_max);
    }
    let held: usize = account.parts().iter().map(MemoryPart::held).sum();
    assert!(held < 260 * 1024 * 1024 * 7 / 10, "{held}");
    assert!(!account.is_overdrawn());
    // What came without being asked for.
    let mut uncovered = account.part(MemoryUse::SlowCallers).share();
    uncovered.record(260 * 1024 * 1024);
    assert!(account.is_overdrawn());
    drop(uncovered);
    assert!(!account.is_overdrawn());
}

/// A share that is taken for announced bytes is neither raised nor given back while these arrive.
#[test]
fn an_announced_message_draws_on_its_part_before_it_arrives() {
    let part = MemoryAccount::default().part(MemoryUse::Forwards).clone();
    let share = part.take(LARGE).unwrap();
    let held = part.held();
    assert!(held > LARGE / 2);
    let mut buffer = HeldBuffer::with_share(share, LARGE);
    for piece in vec![7; LARGE].chunks(SMALL) {
        buffer.extend(piece).unwrap();
        assert_eq!(part.held(), held);
    }
    let bytes = buffer.freeze();
    assert_eq!((bytes.len(), part.held()), (LARGE, held));
    drop(bytes);
    assert_eq!(part.held(), 0);
}

#[test]
fn bytes_without_an_announced_number_are_refused_once_they_are_too_many() {
    let part = MemoryAccount::new(1).part(MemoryUse::Forwards).clone();
    let mut buffer = HeldBuffer::new(&part, None);
    let refused = (0..64).find(|_| buffer.extend(&[0; SMALL]) == Err(MemoryFull));
    assert!(refused.is_some_and(|pieces| (2..=8).contains(&pieces)), "{refused:?}");
    // They have arrived, and count until they are dropped.
    assert!(part.held() + SMALL >= buffer.len());
    assert!(!part.covers(2 * SMALL));
    drop(buffer);
    assert_eq!(part.held(), 0);
}

/// What happens to the bytes of one request.
#[derive(Clone, Copy, Debug)]
enum ModelStep {
    /// Starts a buffer, for an announced number of pieces.
    Start(Option<usize>),
    /// A piece arrives.
    Extend(usize),
    /// The bytes are complete.
    Freeze(usize),
    /// Another place holds them too, or a part of them.
    Slice(usize),
    /// A place drops them.
    Drop(usize),
}

fn model_step() -> impl Strategy<Value = ModelStep> {
    prop_oneof![
        prop::option::of(0..40usize).prop_map(ModelStep::Start),
        (0..8usize).prop_map(ModelStep::Extend),
        (0..8usize).prop_map(ModelStep::Extend),
        (0..8usize).prop_map(ModelStep::Freeze),
        (0..8usize).prop_map(ModelStep::Slice),
        (0..8usize).prop_map(ModelStep::Drop),
    ]
}

/// Buffers that fill, and the places that hold what was in complete ones.
#[derive(Default)]
struct HeldModel {
    buffers: Vec<HeldBuffer>,
    /// Each complete body with the places that hold it.
    bodies: Vec<(usize, Vec<Bytes>)>,
}

impl HeldModel {
    fn apply(&mut self, part: &MemoryPart, step: ModelStep) {
        match step {
            ModelStep::Start(pieces) => {
                self.buffers.push(HeldBuffer::new(part, pieces.map(|count| count * SMALL)));
            }
            ModelStep::Extend(at) => {
                if let Some(buffer) = self.buffers.get_mut(at) {
                    let _ = buffer.extend(&[1; SMALL]);
                }
            }
            ModelStep::Freeze(at) if at < self.buffers.len() => {
                let buffer = self.buffers.swap_remove(at);
                self.bodies.push((buffer.len(), vec![buffer.freeze()]));
            }
            ModelStep::Slice(at) => {
                let Some((_, places)) = self.bodies.get_mut(at) else { return };
                let last = places[places.len() - 1].clone();
                places.push(last.slice(last.len() / 2..));
            }
            ModelStep::Drop(at) if at < self.bodies.len() => {
                self.bodies[at].1.remove(0);
                if self.bodies[at].1.is_empty() {
                    self.bodies.swap_remove(at);
                }
            }
            _ => {}
        }
    }

    /// Bytes that are certainly in memory, without what is free of charge.
    fn least(&self, free: usize) -> usize {
        let buffers = self.buffers.iter().map(HeldBuffer::len);
        // The last half of nothing is not held by anybody.
        let held =
            self.bodies.iter().filter(|(_, places)| places.iter().any(|one| !one.is_empty()));
        let bodies = held.map(|(length, _)| *length);
        buffers.chain(bodies).map(|length| length.saturating_sub(free)).sum()
    }
}

proptest! {
    /// No path leaves a share behind, or drops one while its bytes are still held anywhere.
    #[test]
    fn shares_last_as_long_as_their_bytes(steps in prop::collection::vec(model_step(), 1..200)) {
        let part = answers();
        let mut model = HeldModel::default();
        for step in steps {
            model.apply(&part, step);
            prop_assert!(part.held() >= model.least(64 * 1024));
        }
        drop(model);
        prop_assert_eq!(part.held(), 0);
    }
}
