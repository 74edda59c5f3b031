//! Intrusive doubly linked lists over the items of a slab, with removal in constant time.

use slab::Slab;

/// Neighbours of an item in one list.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    prev: Option<usize>,
    next: Option<usize>,
}

/// Head and tail of a list. All calls on one list must pass the same slab and the same link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct List {
    head: Option<usize>,
    tail: Option<usize>,
}

impl List {
    pub(crate) fn head(&self) -> Option<usize> {
        self.head
    }

    pub(crate) fn tail(&self) -> Option<usize> {
        self.tail
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.head.is_none()
    }

    pub(crate) fn push_back<T>(
        &mut self,
        items: &mut Slab<T>,
        link: fn(&mut T) -> &mut Link,
        key: usize,
    ) {
        *link(&mut items[key]) = Link {
            prev: self.tail,
            next: None,
        };
        match self.tail {
            Some(tail) => link(&mut items[tail]).next = Some(key),
            None => self.head = Some(key),
        }
        self.tail = Some(key);
    }

    pub(crate) fn remove<T>(
        &mut self,
        items: &mut Slab<T>,
        link: fn(&mut T) -> &mut Link,
        key: usize,
    ) {
        let Link { prev, next } = std::mem::take(link(&mut items[key]));
        match prev {
            Some(prev) => link(&mut items[prev]).next = next,
            None => self.head = next,
        }
        match next {
            Some(next) => link(&mut items[next]).prev = prev,
            None => self.tail = prev,
        }
    }
}
