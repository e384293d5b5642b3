//! Values that follow from the rest of the state.

use std::ops::{Deref, DerefMut};

/// Index that can be rebuilt from the rest of the state, so that neither snapshots nor comparisons
/// include it.
#[derive(Clone, Debug, Default)]
pub(super) struct Derived<T>(pub(super) T);

impl<T> PartialEq for Derived<T> {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl<T> Deref for Derived<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T> DerefMut for Derived<T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.0
    }
}
