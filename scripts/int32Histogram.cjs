exports.Int32Histogram = require('../node_modules/hdr-histogram-js/dist/Int32Histogram').default
