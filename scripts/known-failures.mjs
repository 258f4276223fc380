/**
 * The list of known failures, and the verdict on a run of all tests. Each line of the list has three fields:
 *
 *     name of the test | cause | issue
 *     outside the run: command | cause | issue
 *
 * A test of the run that is listed must fail, so that the list stays accurate. A line of the second form is for a case
 * that the run does not contain, such as a script or a long search; it is only printed, and its command must name a file
 * of the repository.
 */

const OUTSIDE_PREFIX = 'outside the run:';
const FIELDS = 3;

/** Returns the defect of a case outside the run, or null. */
function outsideDefect(command, isFile) {
  return command.split(/\s+/).some((word) => word.includes('/') && isFile(word))
    ? null
    : `no file of the repository in the command: ${command}`;
}

/**
 * Parses the list.
 * @param text content of the list
 * @param isFile returns whether a path names a file of the repository
 * @returns the lines of tests by name, the lines of cases outside the run, and what is wrong with the list
 */
export function parseKnownFailures(text, isFile) {
  const tests = new Map();
  const outside = [];
  const defects = [];
  for (const line of text.split('\n').filter((line) => line.trim() !== '')) {
    const fields = line.split('|').map((field) => field.trim());
    const [name] = fields;
    if (fields.length !== FIELDS || fields.includes('')) defects.push(`not ${FIELDS} fields: ${line}`);
    else if (name.startsWith(OUTSIDE_PREFIX)) {
      const defect = outsideDefect(name.slice(OUTSIDE_PREFIX.length).trim(), isFile);
      if (defect) defects.push(defect);
      else outside.push(line);
    } else if (tests.has(name)) defects.push(`listed twice: ${name}`);
    else tests.set(name, line);
  }
  return { tests, outside, defects };
}

/**
 * Judges a run.
 * @param known the parsed list
 * @param results whether each test passed, by name
 * @param exitCode exit code of the test runner
 * @returns the lines to print, and whether the run passed
 */
export function judgeRun(known, results, exitCode) {
  const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
  const unexpected = failed.filter((name) => !known.tests.has(name));
  const outdated = [...known.tests.keys()].filter((name) => !failed.includes(name));
  // The test runner failed but reported no failed test.
  const failedWithoutReport = exitCode !== 0 && failed.length === 0;
  const report = [
    ...failed.filter((name) => known.tests.has(name)).map((name) => `known red: ${known.tests.get(name)}`),
    ...known.outside.map((line) => `known red: ${line}`),
    ...unexpected.map((name) => `failed: ${name}`),
    ...outdated.map((name) => `listed as a known failure and did not fail: ${name}`),
    ...known.defects.map((defect) => `list of known failures: ${defect}`),
  ];
  const faults = unexpected.length + outdated.length + known.defects.length;
  return { report, passed: faults === 0 && !failedWithoutReport && results.size > 0 };
}
