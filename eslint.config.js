import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'journal/'] },
  js.configs.recommended,
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: true }],
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines-per-function': ['error', { max: 90, skipComments: true, skipBlankLines: true }],
    },
  },
  {
    files: ['test/**'],
    rules: { 'max-lines-per-function': 'off', '@typescript-eslint/no-floating-promises': 'off' },
  },
  { files: ['**/*.js', '**/*.mjs'], ...tseslint.configs.disableTypeChecked },
);
