// The raw HTTP client and the lists of status lines are shared with the tests of packages/proxy.
export {
  exchange,
  invalidStatusLines,
  responseRests,
  validStatusLines,
  // eslint-disable-next-line import-x/no-relative-packages
} from '../../proxy/test/raw.js';
