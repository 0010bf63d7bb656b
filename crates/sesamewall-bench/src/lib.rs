//! Experiments on virtual time that measure decisions against plain alternatives.
