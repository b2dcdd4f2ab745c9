//! What this instance knows of replicas, for its peers.

use std::cell::RefCell;
use std::rc::Rc;

use coltsfootgate_core::roster::ReplicaKnowledge;

/// Gives out what is known; clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct ReplicaBoard(Rc<RefCell<BoardState>>);

#[derive(Debug, Default)]
struct BoardState {
    knowledge: ReplicaKnowledge,
    is_source_lost: bool,
}

impl ReplicaBoard {
    /// What is known now.
    pub fn knowledge(&self) -> ReplicaKnowledge {
        self.0.borrow().knowledge.clone()
    }

    /// Whether the platform's list does not answer, so that peers have to be asked.
    pub fn is_source_lost(&self) -> bool {
        self.0.borrow().is_source_lost
    }

    /// Takes over what is known.
    pub(super) fn set(&self, knowledge: ReplicaKnowledge, is_source_lost: bool) {
        *self.0.borrow_mut() = BoardState { knowledge, is_source_lost };
    }
}
