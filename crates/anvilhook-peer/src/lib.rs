//! The link between instances: hints and acknowledgements. It decides nothing.
#![forbid(unsafe_code)]
